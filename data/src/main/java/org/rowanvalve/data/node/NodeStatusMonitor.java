package org.rowanvalve.data.node;

import java.util.function.BooleanSupplier;
import org.rowanvalve.common.model.NodeStatus;
import org.rowanvalve.common.model.Role;

/**
 * Computes the status of a node from its clock skew, the freshness of its view, its state as a voter, its leases and the
 * live shields.
 */
final class NodeStatusMonitor {
    private final Node node;
    private final BooleanSupplier draining;

    NodeStatusMonitor(final Node node, final BooleanSupplier draining) {
        this.node = node;
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
        final boolean stateComplete = !node.votingConfiguration()
                        .isVoter(node.settings().self().id())
                || node.voter().filter(voter -> !voter.acceptor().isVoting()).isEmpty();
        final boolean holdsLease = node.shield()
                .filter(shield -> shield.leaseHolder().heldCount() == 0)
                .isEmpty();
        final boolean hasShield = node.edgeComponents().isEmpty()
                || !node.membership().liveMembers(Role.SHIELD).isEmpty();
        return stateComplete && holdsLease && hasShield ? NodeStatus.READY : NodeStatus.PARTIAL;
    }

    /** Returns the readiness from 0 to 100, by which a platform can choose between nodes. */
    int readinessScore() {
        return switch (current()) {
            case READY -> 100 - Math.min(50, loadScore());
            case PARTIAL -> node.configuration().hasRoutes() ? 20 : 0;
            default -> 0;
        };
    }

    private int loadScore() {
        final int requests =
                node.edgeComponents().map(edge -> edge.edge().openRequests()).orElse(0);
        final int sends =
                node.shield().map(shield -> shield.dispatcher().inFlight()).orElse(0);
        return requests / 40 + sends / 10;
    }
}
