package org.rowanvalve.data.node;

import java.util.function.BooleanSupplier;
import org.rowanvalve.common.model.NodeStatus;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.data.origin.OriginDispatcher;

/** How ready a node is, by what it holds and hears. */
final class NodeStatusMonitor {
    private final Node node;
    private final OriginDispatcher dispatcher;
    private final BooleanSupplier draining;

    NodeStatusMonitor(final Node node, final OriginDispatcher dispatcher, final BooleanSupplier draining) {
        this.node = node;
        this.dispatcher = dispatcher;
        this.draining = draining;
    }

    NodeStatus current() {
        if (draining.getAsBoolean()) {
            return NodeStatus.DRAINING;
        }
        if (node.clockSkew().exceedsBound()) {
            return NodeStatus.UNREADY;
        }
        if (!node.viewSynchronizer().isFresh()) {
            return NodeStatus.PARTIAL;
        }
        final boolean stateComplete = node.acceptor() == null
                || node.acceptor().isVoting()
                || !node.votingConfiguration().isVoter(node.settings().self().id());
        final boolean holdsLease =
                node.leaseHolder() == null || node.leaseHolder().heldCount() > 0;
        final boolean hasShield = node.edge() == null
                || !node.membership().liveMembers(Role.SHIELD).isEmpty();
        return stateComplete && holdsLease && hasShield ? NodeStatus.READY : NodeStatus.PARTIAL;
    }

    /** From 0 to 100, so that a platform can pick by it. */
    int readinessScore() {
        return switch (current()) {
            case READY -> 100 - Math.min(50, loadScore());
            case PARTIAL -> node.configuration().routesByPrecedence().isEmpty() ? 0 : 20;
            default -> 0;
        };
    }

    private int loadScore() {
        return (node.edge() == null ? 0 : node.edge().openRequests() / 40)
                + (node.leaseHolder() == null ? 0 : dispatcher.inFlight() / 10);
    }
}
