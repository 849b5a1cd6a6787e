package org.rowanvalve.testkit;

import java.util.Map;
import org.rowanvalve.testkit.log.RunLog;
import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.sim.SimCluster;

/** Networks whose shields vote, as tests of them begin. */
final class ShieldNetworks {
    private ShieldNetworks() {}

    /** One of two deployments in turn, so that seeds cover both. */
    static Deployment deployment(final long seed) {
        return seed % 2 == 0 ? Deployment.coastlineShields() : Deployment.kilimanjaroShields();
    }

    /** The body of a cached route, to which a test may add members. */
    static Map<String, Object> route(final Deployment deployment, final String prefix, final long version) {
        return RunLog.row(
                "host",
                "shop.example",
                "prefix",
                prefix,
                "service",
                deployment.kin().get(0).service(),
                "mode",
                "cached",
                "lifetimeMs",
                500,
                "any",
                true,
                "version",
                version);
    }

    /** Without operators who change the configuration. */
    static SimCluster quiet(final Deployment deployment, final long seed) {
        final SimCluster cluster = new SimCluster(deployment, seed).open();
        cluster.orderOperator().stop();
        return cluster;
    }
}
