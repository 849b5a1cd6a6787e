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
 * After a pause of this process, asks the edges which of their requests they still wait for. A request that was here before
 * the pause, or that is read soon after it, may have been taken back by a message that is not read yet; it is suspended
 * until its edge has answered.
 */
final class ForwardConfirmation {
    private static final long ANSWER_TIMEOUT_MILLIS = 300;
    private static final long RETRY_DELAY_MS = 100;
    /** After it, an edge that does not answer counts as gone. */
    private static final long GIVE_UP_MS = 3000;

    private final EventLoop loop;
    private final Transport transport;
    private final PauseMonitor pauses;
    private final OpenForwards openForwards;
    private final Map<EdgeStart, Map<Long, Cancellation>> unasked = new LinkedHashMap<>();
    private long pauseCount;

    /** One start of one edge. */
    private record EdgeStart(NodeId edge, String incarnation) {
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

    /** A request that was just read. */
    void onOpen(final OpenForwards.Id id, final Cancellation cancellation) {
        if (pauses.isCatchingUp()) {
            suspend(id, cancellation);
        }
    }

    /** An edge of an earlier release, which states no start, takes nothing back. */
    private void suspend(final OpenForwards.Id id, final Cancellation cancellation) {
        if (id.incarnation() == null || cancellation.isRequested()) {
            return;
        }
        cancellation.suspend();
        if (unasked.isEmpty()) {
            loop.execute(this::askAll);
        }
        unasked.computeIfAbsent(new EdgeStart(id.edge(), id.incarnation()), start -> new HashMap<>())
                .put(id.serial(), cancellation);
    }

    private void askAll() {
        final Map<EdgeStart, Map<Long, Cancellation>> all = Map.copyOf(unasked);
        unasked.clear();
        final long giveUpAt = loop.now() + GIVE_UP_MS;
        all.forEach((start, forwards) -> ask(start, forwards, pauseCount, giveUpAt));
    }

    private void ask(
            final EdgeStart start, final Map<Long, Cancellation> forwards, final long pause, final long giveUpAt) {
        forwards.keySet().removeIf(serial -> !openForwards.isOpen(start.id(serial)));
        if (forwards.isEmpty() || pause != pauseCount) {
            return;
        }
        if (loop.now() >= giveUpAt) {
            forwards.values().forEach(cancellation -> cancellation.request(CancelCause.EDGE_DISCONNECTED));
            return;
        }
        transport.request(
                start.edge(),
                new OpenForwardsRequest(start.incarnation(), List.copyOf(forwards.keySet())),
                ANSWER_TIMEOUT_MILLIS,
                reply -> onReply(start, forwards, pause, giveUpAt, reply));
    }

    /** What an edge said before another pause may be out of date; after that one it is asked again. */
    private void onReply(
            final EdgeStart start,
            final Map<Long, Cancellation> forwards,
            final long pause,
            final long giveUpAt,
            final Reply reply) {
        pauses.check();
        final OpenForwardsResponse response =
                reply.as(OpenForwardsResponse.class).orElse(null);
        if (response == null) {
            loop.schedule(RETRY_DELAY_MS, () -> ask(start, forwards, pause, giveUpAt));
        } else if (pause == pauseCount) {
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
