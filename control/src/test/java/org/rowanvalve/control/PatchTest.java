package org.rowanvalve.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.Finding;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.Ver;

/** A call is checked whole, and each name's highest version holds. */
class PatchTest {
    private static final String STORE = "{\"kind\":\"open\",\"version\":3}";
    private static final String ROUTE =
            "{\"prefix\":\"/x/\",\"host\":\"h\",\"service\":\"s\",\"mode\":\"status\",\"version\":7}";
    private final Voters net = new Voters();
    private final List<Finding> faults = new ArrayList<>();

    private Patch read(final String text) {
        final Patch patch = Patch.read(text.getBytes(StandardCharsets.UTF_8), faults);
        faults.addAll(OrderLedger.EMPTY.judge(patch, net.held::get).findings());
        return patch;
    }

    private List<String> told(final String text) {
        faults.clear();
        read(text);
        return faults.stream().map(Finding::toString).toList();
    }

    @Test
    void aRouteMayNameAServiceOfItsOwnCallOrOneThatStands() {
        final Patch both = read("{\"set\":{\"services\":{\"s\":" + STORE + "},\"routes\":{\"r\":" + ROUTE + "}}}");
        assertEquals(List.of(), faults);
        assertEquals(new Ver(3), both.parts().get(new ItemId(Kind.SERVICE, "s")).ver());
        assertEquals(new Ver(7), both.parts().get(new ItemId(Kind.ROUTE, "r")).ver());
        assertEquals(
                List.of("/set/routes/r/service: no service is named s"),
                told("{\"set\":{\"routes\":{\"r\":" + ROUTE + "}}}"));
        net.put(new ItemId(Kind.SERVICE, "s"), 1, new Service("open", 0, 1, 1000, 0, 0, ""));
        assertEquals(List.of(), told("{\"set\":{\"routes\":{\"r\":" + ROUTE + "}}}"));
    }

    @Test
    void aServiceThatASplitNamesWithWeightZeroMustBeKnownToo() {
        net.put(new ItemId(Kind.SERVICE, "s"), 1, new Service("open", 0, 1, 1000, 0, 0, ""));
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
        final ItemId id = new ItemId(Kind.ROUTE, "r");
        final Patch.Part set = new Patch.Part(new Ver(7), "{}");
        final Patch.Part drop = new Patch.Part(new Ver(9), null);
        final Item one = set.over(Item.none(id), "a");
        assertEquals("{}", one.body());
        assertTrue(one.live());
        assertSame(one, new Patch.Part(new Ver(7), "{\"other\":1}").over(one, "b"));
        assertSame(one, new Patch.Part(new Ver(6), null).over(one, "b"));
        final Item gone = drop.over(one, "c");
        assertTrue(gone.gone());
        assertSame(gone, new Patch.Part(new Ver(8), "{}").over(gone, "d"));
        assertSame(gone, new Patch.Part(new Ver(9), "{}").over(gone, "d"));
        assertTrue(new Patch.Part(new Ver(10), "{}").over(gone, "d").live());
    }
}
