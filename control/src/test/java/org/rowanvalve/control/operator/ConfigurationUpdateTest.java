package org.rowanvalve.control.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.ValidationError;
import org.rowanvalve.common.model.Version;
import org.rowanvalve.control.config.Service;
import org.rowanvalve.control.config.ServiceKind;
import org.rowanvalve.control.voting.VoterFixture;

/** A call is checked whole, and each name's highest version holds. */
class ConfigurationUpdateTest {
    private static final String STORE = "{\"kind\":\"open\",\"version\":3}";
    private static final String ROUTE =
            "{\"prefix\":\"/x/\",\"host\":\"h\",\"service\":\"s\",\"mode\":\"status\",\"version\":7}";
    private final VoterFixture net = new VoterFixture();
    private final List<ValidationError> faults = new ArrayList<>();

    private ConfigurationUpdate read(final String text) {
        final ConfigurationUpdate patch = ConfigurationUpdate.read(text.getBytes(StandardCharsets.UTF_8), faults);
        faults.addAll(UpdateLedger.EMPTY.judge(patch, net.items::get).errors());
        return patch;
    }

    private List<String> told(final String text) {
        faults.clear();
        read(text);
        return faults.stream().map(ValidationError::toString).toList();
    }

    @Test
    void aRouteMayNameAServiceOfItsOwnCallOrOneThatStands() {
        final ConfigurationUpdate both =
                read("{\"set\":{\"services\":{\"s\":" + STORE + "},\"routes\":{\"r\":" + ROUTE + "}}}");
        assertEquals(List.of(), faults);
        assertEquals(
                new Version(3),
                both.updates().get(new ItemId(ItemKind.SERVICE, "s")).version());
        assertEquals(
                new Version(7),
                both.updates().get(new ItemId(ItemKind.ROUTE, "r")).version());
        assertEquals(
                List.of("/set/routes/r/service: no service is named s"),
                told("{\"set\":{\"routes\":{\"r\":" + ROUTE + "}}}"));
        net.put(new ItemId(ItemKind.SERVICE, "s"), 1, new Service(ServiceKind.OPEN, 0, 1, 1000, 0, 0, ""));
        assertEquals(List.of(), told("{\"set\":{\"routes\":{\"r\":" + ROUTE + "}}}"));
    }

    @Test
    void aServiceThatASplitNamesWithWeightZeroMustBeKnownToo() {
        net.put(new ItemId(ItemKind.SERVICE, "s"), 1, new Service(ServiceKind.OPEN, 0, 1, 1000, 0, 0, ""));
        final String split = ROUTE.replace(
                "\"service\":\"s\"", "\"split\":[{\"service\":\"s\",\"weight\":1},{\"service\":\"t\",\"weight\":0}]");
        assertEquals(
                List.of("/set/routes/r/service: no service is named t"),
                told("{\"set\":{\"routes\":{\"r\":" + split + "}}}"));
        assertEquals(
                List.of("/set/routes/r/split: the weights come to 0"),
                told("{\"set\":{\"routes\":{\"r\":"
                        + split.replace("\"weight\":1", "\"weight\":0").replace("\"t\"", "\"s\"") + "}}}"));
    }

    @Test
    void everyFaultIsToldWithItsPlace() {
        assertEquals(List.of("/: not readable as JSON"), told("{\"set\":{\"routes\":{\"r\":{\"pre"));
        assertEquals(List.of("/: text after the value"), told("{} {}"));
        assertEquals(
                List.of("/set/limits/limits: an object is wanted here"), told("{\"set\":{\"limits\":{\"limits\":4}}}"));
        assertEquals(
                List.of("/drop/services/s: the same call sets it"),
                told("{\"set\":{\"services\":{\"s\":" + STORE + "}},\"drop\":{\"services\":{\"s\":4}}}"));
        assertEquals(
                List.of("/set/purges: unknown member", "/more: unknown member"),
                told("{\"set\":{\"purges\":{}},\"more\":1}"));
        for (final String bad : List.of("0", "-1", "1.5", "\"7\"", "9223372036854775808", "null")) {
            assertEquals(
                    List.of("/drop/routes/r: a version, a whole number above 0, is wanted here"),
                    told("{\"drop\":{\"routes\":{\"r\":" + bad + "}}}"),
                    bad);
        }
        assertEquals(
                1, told("{\"set\":{\"services\":{\"s\":{\"kind\":\"open\"}}}}").size());
    }

    @Test
    void equalAndLowerVersionsAlterNothingWhetherTheySetOrDrop() {
        final ItemId id = new ItemId(ItemKind.ROUTE, "r");
        final ConfigurationUpdate.ItemUpdate set = new ConfigurationUpdate.ItemUpdate(new Version(7), "{}");
        final ConfigurationUpdate.ItemUpdate drop = new ConfigurationUpdate.ItemUpdate(new Version(9), null);
        final Item one = set.appliedTo(Item.none(id), "a");
        assertEquals("{}", one.body());
        assertTrue(one.exists());
        assertSame(one, new ConfigurationUpdate.ItemUpdate(new Version(7), "{\"other\":1}").appliedTo(one, "b"));
        assertSame(one, new ConfigurationUpdate.ItemUpdate(new Version(6), null).appliedTo(one, "b"));
        final Item gone = drop.appliedTo(one, "c");
        assertTrue(gone.deleted());
        assertSame(gone, new ConfigurationUpdate.ItemUpdate(new Version(8), "{}").appliedTo(gone, "d"));
        assertSame(gone, new ConfigurationUpdate.ItemUpdate(new Version(9), "{}").appliedTo(gone, "d"));
        assertTrue(new ConfigurationUpdate.ItemUpdate(new Version(10), "{}")
                .appliedTo(gone, "d")
                .exists());
    }
}
