package org.rowanvalve.control.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.control.config.Route;
import org.rowanvalve.control.json.Json;

/**
 * No route in effect refers to a service that does not exist, whatever operators add and remove, at whichever nodes.
 */
class ServiceReferenceTest {
    private static final String SERVICE = "{\"kind\":\"open\",\"version\":%d}";
    private static final ItemId ROUTE = new ItemId(ItemKind.ROUTE, "r");
    private static final Set<Integer> REJECTED = Set.of(422);

    private static NodeId node(final int number) {
        return UpdateCluster.IDS.get(number);
    }

    private static String route(final String service, final long version) {
        return "{\"prefix\":\"/x/\",\"host\":\"h\",\"service\":\"" + service + "\",\"mode\":\"status\",\"version\":"
                + version + "}";
    }

    private static String addRoute(final String service, final long version) {
        return "{\"set\":{\"routes\":{\"r\":" + route(service, version) + "}}}";
    }

    private static String addService(final String service, final long version) {
        return "{\"set\":{\"services\":{\"" + service + "\":" + SERVICE.formatted(version) + "}}}";
    }

    private static String deleteService(final String service, final long version) {
        return "{\"drop\":{\"services\":{\"" + service + "\":" + version + "}}}";
    }

    private static int send(final UpdateCluster cluster, final NodeId at, final String update) {
        final UpdateCluster.Client client = cluster.new Client(update, 0);
        client.send(at);
        cluster.loop.run(8000);
        return client.status;
    }

    /** A cluster in which route r refers to service s, both under version 5. */
    private static UpdateCluster withRoute(final long seed) {
        final UpdateCluster cluster = new UpdateCluster(seed);
        assertEquals(200, send(cluster, node(0), addService("s", 5)));
        assertEquals(200, send(cluster, node(1), addRoute("s", 5)));
        return cluster;
    }

    private static void assertNoRouteWithoutService(final UpdateCluster cluster) {
        for (final NodeId id : cluster.liveNodes()) {
            final Item route = cluster.item(id, ROUTE);
            if (route.exists()) {
                Json.read(route.body(), Route.class)
                        .namedServices()
                        .forEach(service -> assertTrue(
                                cluster.item(id, UpdateCluster.service(service)).exists(),
                                "at " + id + " a route refers to " + service + ", which does not exist"));
            }
        }
    }

    /** Guards against the deletion of a service while an existing route refers to it. */
    @Test
    void serviceInUseByARouteIsNotDeleted() {
        final UpdateCluster cluster = withRoute(1);
        for (final NodeId id : UpdateCluster.IDS) {
            assertEquals(422, send(cluster, id, deleteService("s", 9)), "at " + id);
        }
        assertNoRouteWithoutService(cluster);
        assertTrue(cluster.item(node(0), UpdateCluster.service("s")).exists());
    }

    /** Guards against the deletion of a service by the update that adds a route to it. */
    @Test
    void serviceIsNotDeletedByTheUpdateThatAddsARouteToIt() {
        final UpdateCluster cluster = new UpdateCluster(2);
        assertEquals(200, send(cluster, node(0), addService("s", 5)));
        final String both = "{\"set\":{\"routes\":{\"r\":" + route("s", 7) + "}},\"drop\":{\"services\":{\"s\":9}}}";
        assertEquals(422, send(cluster, node(1), both));
        assertFalse(cluster.item(node(1), ROUTE).exists());
        assertTrue(cluster.item(node(1), UpdateCluster.service("s")).exists());
    }

    /** Guards against a deletion that is rejected although no route refers to the service any more. */
    @Test
    void serviceIsDeletedOnceNoRouteRefersToIt() {
        final UpdateCluster cluster = withRoute(3);
        final String together = "{\"drop\":{\"routes\":{\"r\":9},\"services\":{\"s\":9}}}";
        assertEquals(200, send(cluster, node(2), together), "with its last route");
        assertEquals(200, send(cluster, node(3), together), "again, at another node");
        assertFalse(cluster.item(node(4), UpdateCluster.service("s")).exists());

        final UpdateCluster moved = withRoute(4);
        assertEquals(200, send(moved, node(0), addService("t", 5)));
        final String move = "{\"set\":{\"routes\":{\"r\":" + route("t", 8) + "}},\"drop\":{\"services\":{\"s\":8}}}";
        assertEquals(200, send(moved, node(2), move), "its route refers to another service in the same update");
        assertNoRouteWithoutService(moved);
        assertEquals(422, send(moved, node(3), deleteService("t", 9)));
    }

    /**
     * Guards against the deletion of a service whose route the same update deletes under a version that is too low to
     * take effect.
     */
    @Test
    void supersededDeletionOfARouteDoesNotAllowDeletionOfItsService() {
        final UpdateCluster cluster = withRoute(5);
        assertEquals(200, send(cluster, node(0), addRoute("s", 20)));
        assertEquals(422, send(cluster, node(2), "{\"drop\":{\"routes\":{\"r\":9},\"services\":{\"s\":9}}}"));
        assertNoRouteWithoutService(cluster);
    }

    /**
     * Guards against a route to a service that the same update sets under a version below that of the service's
     * deletion.
     */
    @Test
    void routeToAServiceWhoseRevisionIsSupersededByItsDeletionIsRejected() {
        final UpdateCluster cluster = new UpdateCluster(6);
        assertEquals(200, send(cluster, node(0), addService("s", 5)));
        assertEquals(200, send(cluster, node(0), deleteService("s", 9)));
        final String both = "{\"set\":{\"services\":{\"s\":" + SERVICE.formatted(7) + "},\"routes\":{\"r\":"
                + route("s", 7) + "}}}";
        assertEquals(422, send(cluster, node(1), both));
        assertFalse(cluster.item(node(1), ROUTE).exists());
    }

    /** Guards against a delayed older change that is rejected because its service has been deleted since. */
    @Test
    void supersededRouteMayReferToADeletedService() {
        final UpdateCluster cluster = withRoute(7);
        assertEquals(200, send(cluster, node(0), "{\"drop\":{\"routes\":{\"r\":9},\"services\":{\"s\":9}}}"));
        assertEquals(200, send(cluster, node(1), addRoute("s", 7)));
        assertFalse(cluster.item(node(1), ROUTE).exists());
        assertEquals(422, send(cluster, node(1), addRoute("s", 11)));
    }

    /** Guards against treating a service as existing that only a rejected update has named. */
    @Test
    void serviceOfARejectedUpdateIsNotKnown() {
        final UpdateCluster cluster = new UpdateCluster(8);
        final String invalid = "{\"set\":{\"services\":{\"s\":" + SERVICE.formatted(5) + "},\"routes\":{\"r\":"
                + route("nobody", 5) + "}}}";
        assertEquals(422, send(cluster, node(0), invalid));
        assertEquals(422, send(cluster, node(1), addRoute("s", 6)));
        assertEquals(200, send(cluster, node(2), addService("s", 6)));
        assertEquals(200, send(cluster, node(3), addRoute("s", 6)));
    }

    /**
     * Guards against two operators at two nodes, one of whom adds a route to a service while the other deletes the
     * service.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 40})
    void additionOfARouteAndDeletionOfItsServiceDoNotBothTakeEffect(final int lossPercent) {
        int added = 0;
        int removed = 0;
        for (int seed = 0; seed < 40; seed++) {
            final UpdateCluster cluster = new UpdateCluster(100 + seed);
            assertEquals(200, send(cluster, node(0), addService("s", 5)));
            if (seed % 2 == 0) {
                cluster.setPreferredSequencer(node(seed % 5));
            }
            final List<UpdateCluster.Client> clients = new ArrayList<>();
            clients.add(cluster.new Client(addRoute("s", 5), lossPercent / 100.0));
            clients.add(cluster.new Client(deleteService("s", 9), lossPercent / 100.0));
            cluster.setLossRate(lossPercent / 400.0);
            clients.get(0).send(node(seed % 5));
            cluster.loop.run(cluster.random.nextInt(60));
            clients.get(1).send(node((seed + 1 + seed / 5) % 5));
            cluster.loop.run(20_000);
            cluster.setLossRate(0);
            cluster.loop.run(20_000);
            assertNoRouteWithoutService(cluster);
            final int route = clients.get(0).status;
            final int removal = clients.get(1).status;
            assertTrue(route == 200 ^ removal == 200, "seed " + seed + ": " + route + " and " + removal);
            assertTrue(REJECTED.contains(route == 200 ? removal : route), "seed " + seed);
            added += route == 200 ? 1 : 0;
            removed += removal == 200 ? 1 : 0;
        }
        assertTrue(added > 0 && removed > 0, added + " added, " + removed + " removed");
    }

    /**
     * Guards against a verdict that is based on the items that this node has learned, although the ledger contains
     * newer ones.
     */
    @Test
    void deletionRightAfterTheAcknowledgementOfARouteIsRejectedAtEveryNode() {
        for (int seed = 0; seed < 25; seed++) {
            final UpdateCluster cluster = new UpdateCluster(300 + seed);
            assertEquals(200, send(cluster, node(0), addService("s", 5)));
            final UpdateCluster.Client add = cluster.new Client(addRoute("s", 5), 0);
            add.send(node(seed % 5));
            while (add.status == 0) {
                cluster.loop.run(1);
            }
            cluster.setLossRate(0.3);
            final UpdateCluster.Client remove = cluster.new Client(deleteService("s", 9), 0);
            remove.send(node(seed / 5));
            cluster.loop.run(15_000);
            assertEquals(422, remove.status, "seed " + seed);
            assertNoRouteWithoutService(cluster);
        }
    }
}
