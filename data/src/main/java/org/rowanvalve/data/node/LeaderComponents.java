package org.rowanvalve.data.node;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.control.election.LeaderElection;
import org.rowanvalve.control.lease.LeaseManager;
import org.rowanvalve.control.operator.TombstoneCollector;
import org.rowanvalve.control.reconfiguration.VotingSetPlanner;
import org.rowanvalve.data.settings.NodeSettings;

/** The components of a node that can be elected leader: the election, and the tasks that only the leader runs. */
final class LeaderComponents {
    private final LeaseManager leaseManager;
    private final LeaderElection election;
    private final Optional<VotingSetPlanner> votingSetPlanner;
    private final TombstoneCollector tombstoneCollector;

    /**
     * Creates the components without starting them.
     *
     * @param eligible whether this node may be elected now
     * @param resumptions how many times this node resumed with the only remaining copy of the state
     */
    LeaderComponents(
            final NodeSettings settings,
            final Node.Runtime runtime,
            final CoreComponents core,
            final BooleanSupplier eligible,
            final LongSupplier resumptions,
            final EventJournal journal) {
        final EventLoop loop = runtime.loop();
        final NodeId ownId = settings.self().id();
        leaseManager = new LeaseManager(
                loop,
                runtime.transport(),
                core.proposer,
                core.membership,
                settings.timings(),
                journal,
                settings.shards(),
                core.membership::isClockSound,
                settings);
        election = new LeaderElection(
                ownId,
                settings.self().incarnation(),
                loop,
                core.proposer,
                core.items,
                settings.timings(),
                journal,
                eligible,
                leaseManager::onElected,
                resumptions);
        votingSetPlanner = settings.votersMayChange()
                ? Optional.of(new VotingSetPlanner(
                        ownId,
                        core.votingConfiguration,
                        core.membership,
                        core.viewSynchronizer,
                        core.proposer,
                        loop,
                        runtime.transport(),
                        journal,
                        () -> settings.reloadable().get().toleratedLosses()))
                : Optional.empty();
        tombstoneCollector =
                new TombstoneCollector(loop, core.items, core.configuration, core.proposer, election::isLeader);
    }

    void start() {
        election.start();
        tombstoneCollector.start();
        leaseManager.start(election);
        votingSetPlanner.ifPresent(planner -> planner.start(election));
    }

    LeaderElection election() {
        return election;
    }

    LeaseManager leaseManager() {
        return leaseManager;
    }
}
