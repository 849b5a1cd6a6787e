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

/** An update is validated as a whole, and the highest version of each item takes effect. */
class ConfigurationUpdateTest {
    private static final String SERVICE = "{\"kind\":\"open\",\"version\":3}";
    private static final String ROUTE =
            "{\"prefix\":\"/x/\",\"host\":\"h\",\"service\":\"s\",\"mode\":\"status\",\"version\":7}";
    private final VoterFixture fixture = new VoterFixture();
    private final List<ValidationError> errors = new ArrayList<>();

    private ConfigurationUpdate read(final String text) {
        final ConfigurationUpdate update = ConfigurationUpdate.read(text.getBytes(StandardCharsets.UTF_8), errors);
        errors.addAll(UpdateLedger.EMPTY.judge(update, fixture.items).errors());
        return update;
    }

    private List<String> errorsOf(final String text) {
        errors.clear();
        read(text);
        return errors.stream().map(ValidationError::toString).toList();
    }

    @Test
    void routeMayReferToAServiceOfTheSameUpdateOrAnExistingOne() {
        final ConfigurationUpdate both =
                read("{\"set\":{\"services\":{\"s\":" + SERVICE + "},\"routes\":{\"r\":" + ROUTE + "}}}");
        assertEquals(List.of(), errors);
        assertEquals(
                new Version(3),
                both.updates().get(new ItemId(ItemKind.SERVICE, "s")).version());
        assertEquals(
                new Version(7),
                both.updates().get(new ItemId(ItemKind.ROUTE, "r")).version());
        assertEquals(
                List.of("/set/routes/r/service: no service is named s"),
                errorsOf("{\"set\":{\"routes\":{\"r\":" + ROUTE + "}}}"));
        fixture.put(new ItemId(ItemKind.SERVICE, "s"), 1, new Service(ServiceKind.OPEN, 0, 1, 1000, 0, 0, ""));
        assertEquals(List.of(), errorsOf("{\"set\":{\"routes\":{\"r\":" + ROUTE + "}}}"));
    }

    @Test
    void serviceWithWeightZeroInASplitMustBeKnown() {
        fixture.put(new ItemId(ItemKind.SERVICE, "s"), 1, new Service(ServiceKind.OPEN, 0, 1, 1000, 0, 0, ""));
        final String split = ROUTE.replace(
                "\"service\":\"s\"", "\"split\":[{\"service\":\"s\",\"weight\":1},{\"service\":\"t\",\"weight\":0}]");
        assertEquals(
                List.of("/set/routes/r/service: no service is named t"),
                errorsOf("{\"set\":{\"routes\":{\"r\":" + split + "}}}"));
        assertEquals(
                List.of("/set/routes/r/split: the weights come to 0"),
                errorsOf("{\"set\":{\"routes\":{\"r\":"
                        + split.replace("\"weight\":1", "\"weight\":0").replace("\"t\"", "\"s\"") + "}}}"));
    }

    @Test
    void everyErrorIsReportedWithItsPath() {
        assertEquals(List.of("/: not readable as JSON"), errorsOf("{\"set\":{\"routes\":{\"r\":{\"pre"));
        assertEquals(List.of("/: text after the value"), errorsOf("{} {}"));
        assertEquals(
                List.of("/set/limits/limits: an object is wanted here"),
                errorsOf("{\"set\":{\"limits\":{\"limits\":4}}}"));
        assertEquals(
                List.of("/drop/services/s: two bodies under one version"),
                errorsOf("{\"set\":{\"services\":{\"s\":" + SERVICE + "}},\"drop\":{\"services\":{\"s\":3}}}"));
        assertEquals(
                List.of("/set/limits/other: no item of this kind has this name"),
                errorsOf("{\"set\":{\"limits\":{\"other\":"
                        + "{\"headBytes\":512,\"bodyBytes\":1,\"headMs\":10,\"idleMs\":10,\"version\":1}}}}"));
        assertEquals(
                List.of("/set/purges: unknown member", "/more: unknown member"),
                errorsOf("{\"set\":{\"purges\":{}},\"more\":1}"));
        for (final String bad : List.of("0", "-1", "1.5", "\"7\"", "9223372036854775808", "null")) {
            assertEquals(
                    List.of("/drop/routes/r: a version, a whole number above 0, is wanted here"),
                    errorsOf("{\"drop\":{\"routes\":{\"r\":" + bad + "}}}"),
                    bad);
        }
        assertEquals(
                1,
                errorsOf("{\"set\":{\"services\":{\"s\":{\"kind\":\"open\"}}}}").size());
    }

    private ConfigurationUpdate.ItemUpdate highest(final String text) {
        errors.clear();
        final ConfigurationUpdate update = read(text);
        assertEquals(List.of(), errors, text);
        return update.updates().get(new ItemId(ItemKind.SERVICE, "s"));
    }

    /**
     * Guards against a revision that is ignored silently, or an update that is rejected, if one update both sets and
     * deletes an item.
     */
    @Test
    void highestVersionTakesEffectIfAnUpdateSetsAndDeletesAnItem() {
        final String set = "{\"set\":{\"services\":{\"s\":" + SERVICE + "}},\"drop\":{\"services\":{\"s\":%s}}}";
        assertEquals(new Version(3), highest(set.formatted("2")).version());
        assertTrue(highest(set.formatted("2")).body() != null);
        assertEquals(new ConfigurationUpdate.ItemUpdate(new Version(4), null), highest(set.formatted("4")));
        assertEquals(new ConfigurationUpdate.ItemUpdate(new Version(9), null), highest(set.formatted("[9,2,9]")));
        assertEquals(1, errorsOf(set.formatted("[9,3]")).size(), "one version that both sets and deletes the item");
    }

    /**
     * Guards against an invalid revision that is accepted because the same update contains a higher version of the
     * item.
     */
    @Test
    void everyRevisionIsValidatedThoughOnlyTheHighestTakesEffect() {
        final String update = "{\"set\":{\"services\":{\"s\":" + SERVICE + "},\"routes\":{\"r\":[%s,%s]}}}";
        final String lower = ROUTE.replace("\"version\":7", "\"version\":5");
        final String unknown = lower.replace("\"service\":\"s\"", "\"service\":\"nobody\"");
        final String weightless = lower.replace("\"service\":\"s\"", "\"split\":[{\"service\":\"s\",\"weight\":0}]");
        for (final boolean first : new boolean[] {true, false}) {
            assertEquals(List.of(), errorsOf(first ? update.formatted(lower, ROUTE) : update.formatted(ROUTE, lower)));
            assertEquals(
                    List.of("/set/routes/r/service: no service is named nobody"),
                    errorsOf(first ? update.formatted(unknown, ROUTE) : update.formatted(ROUTE, unknown)));
            assertEquals(
                    List.of("/set/routes/r/split: the weights come to 0"),
                    errorsOf(first ? update.formatted(weightless, ROUTE) : update.formatted(ROUTE, weightless)));
        }
        assertEquals(
                List.of("/set/routes/r/service: no service is named nobody"),
                errorsOf(update.formatted(
                        ROUTE, ROUTE.replace("\"s\"", "\"nobody\"").replace(":7", ":9"))));
        assertEquals(
                List.of("/set/routes/r: two bodies under one version"),
                errorsOf(update.formatted(ROUTE, ROUTE.replace("/x/", "/y/"))));
        assertEquals(List.of("/set/routes/r: an object is wanted here"), errorsOf("{\"set\":{\"routes\":{\"r\":[]}}}"));
    }

    @Test
    void equalAndLowerVersionsChangeNothing() {
        final ItemId id = new ItemId(ItemKind.ROUTE, "r");
        final ConfigurationUpdate.ItemUpdate set = new ConfigurationUpdate.ItemUpdate(new Version(7), "{}");
        final ConfigurationUpdate.ItemUpdate drop = new ConfigurationUpdate.ItemUpdate(new Version(9), null);
        final Item existing = set.appliedTo(Item.none(id), "a");
        assertEquals("{}", existing.body());
        assertTrue(existing.exists());
        assertSame(
                existing, new ConfigurationUpdate.ItemUpdate(new Version(7), "{\"other\":1}").appliedTo(existing, "b"));
        assertSame(existing, new ConfigurationUpdate.ItemUpdate(new Version(6), null).appliedTo(existing, "b"));
        final Item deleted = drop.appliedTo(existing, "c");
        assertTrue(deleted.deleted());
        assertSame(deleted, new ConfigurationUpdate.ItemUpdate(new Version(8), "{}").appliedTo(deleted, "d"));
        assertSame(deleted, new ConfigurationUpdate.ItemUpdate(new Version(9), "{}").appliedTo(deleted, "d"));
        assertTrue(new ConfigurationUpdate.ItemUpdate(new Version(10), "{}")
                .appliedTo(deleted, "d")
                .exists());
    }
}
