package org.rowanvalve.control.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.model.Hash;

class RouteTest {
    private static Route splitRoute(final Route.WeightedService... parts) {
        return new Route("/", "s", RouteMode.STATUS, 0, true, null, null, List.of(parts), true, 0, 0, 0, 0, null);
    }

    @Test
    void servicesAreSelectedByWeightAndNeverWithWeightZero() {
        final Route route = splitRoute(
                new Route.WeightedService("none", 0),
                new Route.WeightedService("most", 90),
                new Route.WeightedService("few", 10),
                new Route.WeightedService("zero", 0));
        final Map<String, Integer> selections = new TreeMap<>();
        for (int i = 0; i < 10_000; i++) {
            selections.merge(route.pickService(Hash.hash64("request-" + i)), 1, Integer::sum);
        }
        assertEquals(2, selections.size(), selections.toString());
        assertTrue(selections.get("few") > 850 && selections.get("few") < 1150, selections.toString());
        for (final long roll : new long[] {Long.MIN_VALUE, -1, 0, 89, 90, 99, 100, Long.MAX_VALUE}) {
            assertTrue(List.of("most", "few").contains(route.pickService(roll)), String.valueOf(roll));
        }
        assertEquals("most", route.pickService(89));
        assertEquals("few", route.pickService(90));
    }

    @Test
    void namedServicesIncludeThoseOfWeightZeroAndServicesDoNot() {
        final Route route = splitRoute(new Route.WeightedService("a", 0), new Route.WeightedService("b", 2));
        assertEquals(List.of("b"), route.services());
        assertTrue(route.namedServices().containsAll(List.of("a", "b")));
        assertEquals("s", splitRoute().pickService(-7));
        assertEquals(3, route.maxAttempts(), "the default number of attempts");
        assertEquals("n|/x", route.cacheKeyOf("n", "/x"));
    }
}
