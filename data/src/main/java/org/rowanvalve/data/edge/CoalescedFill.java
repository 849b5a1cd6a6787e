package org.rowanvalve.data.edge;

import java.util.ArrayList;
import java.util.List;
import org.rowanvalve.common.model.VersionVector;

/**
 * Coalesces the client requests for one object under the same versions into a single request to the lease holder. The
 * first client request is the leader, which sends the request to the lease holder. The fill continues as long as at least
 * one client still waits for it.
 */
final class CoalescedFill {
    /** Maximum number of client requests that wait for one object. */
    static final int MAX_WAITERS = 512;

    private final EdgeRequest leader;
    private final List<EdgeRequest> waiters = new ArrayList<>();
    private VersionVector versions;

    CoalescedFill(final EdgeRequest leader, final VersionVector versions) {
        this.leader = leader;
        this.versions = versions;
        waiters.add(leader);
    }

    VersionVector versions() {
        return versions;
    }

    /** Whether the leader was accepted by the same route as the request, under the same version or a newer one. */
    boolean coversRoute(final EdgeRequest request) {
        return leader.route().name().equals(request.route().name()) && leader.routeVersion() >= request.routeVersion();
    }

    void renewVersions(final VersionVector current) {
        versions = current;
    }

    boolean isFull(final int additional) {
        return waiters.size() + additional > MAX_WAITERS;
    }

    void join(final EdgeRequest request) {
        waiters.add(request);
    }

    /** Moves all waiting requests of this fill to {@code other}. */
    void moveWaitersTo(final CoalescedFill other) {
        waiters.forEach(waiter -> waiter.waitFor(other));
        waiters.clear();
    }

    int waiterCount() {
        return waiters.size();
    }

    List<EdgeRequest> waiters() {
        return List.copyOf(waiters);
    }

    /** Whether the clients of all waiting requests have disconnected. */
    boolean isAbandoned() {
        return waiters.stream().allMatch(EdgeRequest::hasLeft);
    }

    /** Called when the client of one waiting request has disconnected. */
    void onWaiterLeft() {
        if (isAbandoned()) {
            leader.abandon();
        }
    }
}
