package org.rowanvalve.data.node;

import java.util.List;
import java.util.function.Consumer;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.ShardDemand;
import org.rowanvalve.control.lease.FenceReason;
import org.rowanvalve.control.lease.LeaseHolder;
import org.rowanvalve.control.record.RecordRetention;
import org.rowanvalve.data.keyed.KeyedRequests;
import org.rowanvalve.data.origin.OriginDispatcher;
import org.rowanvalve.data.settings.NodeSettings;
import org.rowanvalve.data.shield.Shield;

/** The components of a shield: its leases, the dispatcher to origins, and the handling of requests from edges. */
final class ShieldComponents {
    private final LeaseHolder leaseHolder;
    private final OriginDispatcher dispatcher;
    private final KeyedRequests keyedRequests;
    private final Shield shield;

    ShieldComponents(
            final NodeSettings settings,
            final Node.Runtime runtime,
            final CoreComponents core,
            final EventJournal journal) {
        leaseHolder = new LeaseHolder(
                runtime.loop(),
                runtime.transport(),
                core.items,
                settings.timings(),
                journal,
                () -> !core.clockSkew.exceedsBound(),
                this::drainDemand,
                fillStopper());
        dispatcher = new OriginDispatcher(
                settings,
                runtime.loop(),
                runtime.transport(),
                runtime.originTransport(),
                core.configuration,
                leaseHolder,
                DispatcherClusterView.of(settings, core, core.voterLinks::otherShields),
                journal);
        keyedRequests = new KeyedRequests(
                core.votingConfiguration,
                runtime.loop(),
                runtime.transport(),
                leaseHolder,
                journal,
                core.storeHealth,
                settings.self().id() + "#" + settings.self().incarnation(),
                new RecordRetention(settings.keyWindowMs(), core.configuration::longestKeyedTimeoutMs),
                core.voterLinks::otherShields);
        shield = new Shield(
                runtime.loop(),
                runtime.transport(),
                core.configuration,
                leaseHolder,
                dispatcher,
                keyedRequests,
                core.viewSynchronizer::isFresh,
                core.viewSynchronizer::poll,
                settings,
                settings.cacheBytes());
    }

    private List<ShardDemand> drainDemand() {
        return dispatcher.drainDemand();
    }

    private LeaseHolder.FillStopper fillStopper() {
        return new LeaseHolder.FillStopper() {
            @Override
            public void stop(
                    final int shard, final FenceReason reason, final long graceMs, final Consumer<Boolean> done) {
                dispatcher.stop(shard, reason, graceMs, done);
            }

            @Override
            public void giveUpUnsent(final int shard) {
                dispatcher.giveUpUnsent(shard);
            }
        };
    }

    LeaseHolder leaseHolder() {
        return leaseHolder;
    }

    OriginDispatcher dispatcher() {
        return dispatcher;
    }

    KeyedRequests keyedRequests() {
        return keyedRequests;
    }

    Shield shield() {
        return shield;
    }
}
