package org.rowanvalve.data.shield;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.rowanvalve.common.message.ForwardRequest;
import org.rowanvalve.common.message.ForwardResponse;
import org.rowanvalve.common.model.VersionVector;
import org.rowanvalve.data.cancel.Cancellation;

/**
 * One fill from an origin, shared by all requests that wait for the same object. If every waiting request is cancelled
 * before the fill is sent, the fill is not sent. A fill that was already sent continues, and its response is cached.
 */
final class Fill {
    private final String path;
    private final VersionVector versions;
    private final long startedAt;
    private final List<Waiter> waiters = new ArrayList<>();
    private final Cancellation cancellation = new Cancellation(this::poll);

    /** A request that waits for the response of the fill. */
    record Waiter(ForwardedRequest request, long deadline, Consumer<ForwardResponse> callback) {
        ForwardRequest forward() {
            return request.forward();
        }

        Cancellation cancellation() {
            return request.cancellation();
        }
    }

    /**
     * @param versions the versions of the purges that this node knows at {@code startedAt}, in ms of its monotonic clock
     */
    Fill(final String path, final VersionVector versions, final long startedAt) {
        this.path = path;
        this.versions = versions;
        this.startedAt = startedAt;
    }

    String path() {
        return path;
    }

    VersionVector versions() {
        return versions;
    }

    long startedAt() {
        return startedAt;
    }

    List<Waiter> waiters() {
        return waiters;
    }

    /** Whether the fill was started for this request; the other requests joined it. */
    boolean isInitiator(final Waiter waiter) {
        return waiters.get(0) == waiter;
    }

    /** The cancellation of the fill, requested once all requests that joined the fill are cancelled. */
    Cancellation cancellation() {
        return cancellation;
    }

    void join(final Waiter waiter) {
        waiters.add(waiter);
        waiter.cancellation().onRequest(() -> onCancelled(waiter));
    }

    private void onCancelled(final Waiter waiter) {
        if (waiters.stream().allMatch(other -> other.cancellation().isRequested())) {
            cancellation.request(waiter.cancellation().cause());
        }
    }

    /**
     * Confirms the fill if at least one of its requests is confirmed, and suspends it if some are unconfirmed and none
     * is confirmed.
     */
    private void poll() {
        final Set<Cancellation.State> standings = EnumSet.noneOf(Cancellation.State.class);
        waiters.forEach(waiter -> standings.add(waiter.cancellation().poll()));
        if (standings.contains(Cancellation.State.WANTED)) {
            cancellation.confirm();
        } else if (standings.contains(Cancellation.State.UNCONFIRMED)) {
            cancellation.suspend();
            waiters.forEach(waiter -> waiter.cancellation().onSettled(this::poll));
        }
    }
}
