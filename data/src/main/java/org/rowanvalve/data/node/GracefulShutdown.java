package org.rowanvalve.data.node;

import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.NodeStatus;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.control.membership.Membership;
import org.rowanvalve.control.view.ViewSynchronizer;
import org.rowanvalve.control.voting.VotingConfiguration;
import org.rowanvalve.data.edge.Edge;
import org.rowanvalve.data.origin.OriginDispatcher;

/**
 * The graceful shutdown of a node: it accepts no new clients, resigns leadership, and hands over its shards and its vote.
 */
final class GracefulShutdown {
    private static final long LINGER_MS = 100;
    /** A draining edge still answers requests; its shutdown completes once none has arrived for this time. */
    private static final long QUIET_MS = 250;

    /** How long a shield without leases waits for a plan that no longer names it. */
    private static final long HANDOVER_TIMEOUT_MILLIS = 2500;

    private static final long DRAIN_POLL_INTERVAL_MS = 50;
    /** How long a draining voter waits for its replacement. */
    private static final long REPLACEMENT_TIMEOUT_MILLIS = 3500;

    private final Node node;
    private final EventLoop loop;
    private final EventJournal journal;
    private final NodeId self;
    private boolean started;
    private boolean wasVoter;
    private boolean outcomeJournaled;
    private long startedAt;
    private long withoutLeasesSince;

    GracefulShutdown(final Node node) {
        this.node = node;
        this.loop = node.loop();
        this.journal = node.journal();
        this.self = node.settings().self().id();
    }

    boolean isStarted() {
        return started;
    }

    void start(final long timeoutMs, final Runnable callback) {
        started = true;
        startedAt = loop.now();
        withoutLeasesSince = startedAt;
        wasVoter = node.voter().isPresent() && node.votingConfiguration().isVoter(self);
        journal.add(Event.of(EventCode.STOPPING, "node", self.text()));
        final long deadline = startedAt + timeoutMs;
        node.dispatcher().ifPresent(dispatcher -> dispatcher.onStopping(deadline));
        final Runnable continuation = node.edgeComponents()
                .<Runnable>map(components -> () -> closeEdge(components.edge(), timeoutMs, deadline, callback))
                .orElse(() -> drain(deadline, callback));
        node.leader().ifPresentOrElse(components -> components.election().resign(continuation), continuation);
    }

    /**
     * Closes the edge after the drain notice period. Until then the edge accepts requests, so that load balancers can
     * notice the shutdown and send new connections to other edges.
     */
    private void closeEdge(final Edge edge, final long timeoutMs, final long deadline, final Runnable callback) {
        loop.schedule(Math.min(node.settings().drainNoticeMs(), timeoutMs), () -> {
            edge.close();
            drain(deadline, callback);
        });
    }

    private void drain(final long deadline, final Runnable callback) {
        final boolean idle = node.edgeComponents()
                        .map(EdgeComponents::edge)
                        .filter(edge -> edge.openRequests() > 0 || !edge.isQuiet(QUIET_MS))
                        .isEmpty()
                && node.dispatcher()
                        .filter(dispatcher -> dispatcher.inFlight() > 0)
                        .isEmpty()
                && node.shield()
                        .filter(shield -> shield.keyedRequests().anyInProgress())
                        .isEmpty()
                && areShardsHandedOver()
                && isVoterReplaced();
        if (idle || loop.now() >= deadline) {
            node.shield().ifPresent(components -> components.shield().close());
            loop.schedule(LINGER_MS, () -> {
                node.dispatcher().ifPresent(OriginDispatcher::onProcessEnd);
                journal.add(Event.of(EventCode.STOPPED, "node", self.text(), "openRequests", openRequests()));
                callback.run();
            });
        } else {
            loop.schedule(DRAIN_POLL_INTERVAL_MS, () -> drain(deadline, callback));
        }
    }

    private int openRequests() {
        return node.edgeComponents()
                .map(components -> components.edge().openRequests())
                .orElse(0);
    }

    /**
     * Whether this shield has no leases and the placement plan no longer names it. If no leader updates the plan, the
     * shield stops waiting {@link #HANDOVER_TIMEOUT_MILLIS} after it gave up its last lease.
     */
    private boolean areShardsHandedOver() {
        if (node.shield().isEmpty()) {
            return true;
        }
        if (node.leaseHolder().heldCount() > 0) {
            withoutLeasesSince = loop.now();
            return false;
        }
        return node.configuration().plan().assignments().stream()
                        .noneMatch(assignment -> assignment.owner().equals(self.text()))
                || loop.now() - withoutLeasesSince > HANDOVER_TIMEOUT_MILLIS;
    }

    /**
     * Whether a voting set without this node is confirmed. The node does not wait for one if there is no standby, or after
     * {@link #REPLACEMENT_TIMEOUT_MILLIS}.
     */
    private boolean isVoterReplaced() {
        if (!wasVoter || !node.settings().votersMayChange()) {
            return true;
        }
        final VotingConfiguration votingConfiguration = node.votingConfiguration();
        final ViewSynchronizer view = node.viewSynchronizer();
        final boolean replacedByOther = !votingConfiguration.isVoter(self) && view.isConfirmedInEpoch();
        final boolean noStandby =
                votingConfiguration.isVoter(self) && !hasStandby(votingConfiguration, node.membership());
        final boolean finished = replacedByOther || noStandby || loop.now() - startedAt >= REPLACEMENT_TIMEOUT_MILLIS;
        if (finished && !outcomeJournaled) {
            outcomeJournaled = true;
            journal.add(Event.of(
                    replacedByOther ? EventCode.VOTE_HANDED : EventCode.VOTE_KEPT,
                    "epoch",
                    votingConfiguration.epoch()));
        }
        return finished;
    }

    private static boolean hasStandby(final VotingConfiguration votingConfiguration, final Membership membership) {
        return membership.liveMembers(Role.SHIELD).stream()
                .anyMatch(
                        member -> !votingConfiguration.isVoter(member.id()) && member.status() != NodeStatus.DRAINING);
    }
}
