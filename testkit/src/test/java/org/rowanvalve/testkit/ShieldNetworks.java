package org.rowanvalve.testkit;

import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.sim.SimCluster;

/** Networks whose shields vote, as tests of them begin. */
final class ShieldNetworks {
    private ShieldNetworks() {}

    /** One of two deployments in turn, so that seeds cover both. */
    static Deployment deployment(final long seed) {
        return seed % 2 == 0 ? Deployment.coastlineShields() : Deployment.kilimanjaroShields();
    }

    /** Without operators who change the configuration. */
    static SimCluster quiet(final Deployment deployment, final long seed) {
        final SimCluster cluster = new SimCluster(deployment, seed).open();
        cluster.orderOperator().stop();
        return cluster;
    }
}
