package org.rowanvalve.data.shield;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.rowanvalve.common.message.OpenForwardsRequest;
import org.rowanvalve.common.message.OpenForwardsResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.CancelCause;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.data.cancel.Cancellation;
import org.rowanvalve.data.cancel.PauseMonitor;

/**
 * Asks the edges, after a pause of this process, for which of their requests they still wait. A request that was
 * received before the pause, or that is read soon after the pause, may have been cancelled by a message that has not
 * been read yet. Such a request is suspended until its edge has responded.
 */
final class ForwardConfirmation {
    private static final long RESPONSE_TIMEOUT_MILLIS = 300;
    private static final long RETRY_DELAY_MS = 100;
    /** After this time an edge that does not respond counts as disconnected, and its requests are cancelled. */
    private static final long CONFIRMATION_TIMEOUT_MILLIS = 3000;

    private final EventLoop loop;
    private final Transport transport;
    private final PauseMonitor pauses;
    private final OpenForwards openForwards;
    private final Map<EdgeIncarnation, Map<Long, Cancellation>> unconfirmed = new LinkedHashMap<>();
    private long pauseCount;

    /** One run of an edge process. */
    private record EdgeIncarnation(NodeId edge, String incarnation) {
        OpenForwards.Id id(final long serial) {
            return new OpenForwards.Id(edge, incarnation, serial);
        }
    }

    ForwardConfirmation(
            final EventLoop loop,
            final Transport transport,
            final PauseMonitor pauses,
            final OpenForwards openForwards) {
        this.loop = loop;
        this.transport = transport;
        this.pauses = pauses;
        this.openForwards = openForwards;
        pauses.onResume(this::onResume);
    }

    private void onResume() {
        pauseCount++;
        openForwards.forEach(this::suspend);
    }

    /** Suspends a request that was just read, if it may have been sent before the end of a pause. */
    void onOpen(final OpenForwards.Id id, final Cancellation cancellation) {
        if (pauses.isCatchingUp()) {
            suspend(id, cancellation);
        }
    }

    /**
     * Suspends a request. Edges of earlier releases send no incarnation and never cancel a request, so theirs are not
     * suspended.
     */
    private void suspend(final OpenForwards.Id id, final Cancellation cancellation) {
        if (id.incarnation() == null || cancellation.isRequested()) {
            return;
        }
        cancellation.suspend();
        if (unconfirmed.isEmpty()) {
            loop.execute(this::askEdges);
        }
        unconfirmed
                .computeIfAbsent(new EdgeIncarnation(id.edge(), id.incarnation()), edgeIncarnation -> new HashMap<>())
                .put(id.serial(), cancellation);
    }

    private void askEdges() {
        final Map<EdgeIncarnation, Map<Long, Cancellation>> pending = Map.copyOf(unconfirmed);
        unconfirmed.clear();
        final long giveUpAt = loop.now() + CONFIRMATION_TIMEOUT_MILLIS;
        pending.forEach((edgeIncarnation, forwards) -> askEdge(edgeIncarnation, forwards, pauseCount, giveUpAt));
    }

    private void askEdge(
            final EdgeIncarnation edgeIncarnation,
            final Map<Long, Cancellation> forwards,
            final long pauseNumber,
            final long giveUpAt) {
        forwards.keySet().removeIf(serial -> !openForwards.isOpen(edgeIncarnation.id(serial)));
        if (forwards.isEmpty() || pauseNumber != pauseCount) {
            return;
        }
        if (loop.now() >= giveUpAt) {
            forwards.values().forEach(cancellation -> cancellation.request(CancelCause.EDGE_DISCONNECTED));
            return;
        }
        transport.request(
                edgeIncarnation.edge(),
                new OpenForwardsRequest(edgeIncarnation.incarnation(), List.copyOf(forwards.keySet())),
                RESPONSE_TIMEOUT_MILLIS,
                reply -> onReply(edgeIncarnation, forwards, pauseNumber, giveUpAt, reply));
    }

    /**
     * Settles the requests by an edge's response. A response from before a later pause may be out of date and is
     * ignored; the edge is asked again after the later pause.
     */
    private void onReply(
            final EdgeIncarnation edgeIncarnation,
            final Map<Long, Cancellation> forwards,
            final long pauseNumber,
            final long giveUpAt,
            final Reply reply) {
        pauses.check();
        final OpenForwardsResponse response =
                reply.as(OpenForwardsResponse.class).orElse(null);
        if (response == null) {
            loop.schedule(RETRY_DELAY_MS, () -> askEdge(edgeIncarnation, forwards, pauseNumber, giveUpAt));
        } else if (pauseNumber == pauseCount) {
            final Set<Long> open = Set.copyOf(response.serials());
            forwards.forEach((serial, cancellation) -> settle(cancellation, open.contains(serial)));
        }
    }

    private static void settle(final Cancellation cancellation, final boolean isOpen) {
        if (isOpen) {
            cancellation.confirm();
        } else {
            cancellation.request(CancelCause.ANSWERED);
        }
    }
}
