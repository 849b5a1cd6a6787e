package org.rowanvalve.data.keyed;

import java.util.List;
import java.util.function.Consumer;
import org.rowanvalve.common.message.KeyedOutcome;
import org.rowanvalve.common.message.KeyedRecord;
import org.rowanvalve.common.message.OutcomeRequest;
import org.rowanvalve.common.message.OutcomeResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;

/**
 * Finds out how an attempt of a key ended that another process made, for a holder that read only its intent. First the
 * other shields are asked: the one that made the attempt may still wait for its origin, or know that nothing was sent. If
 * none knows the attempt, the replicas are asked, which may have stored its end since they were read.
 *
 * <p>Safe, since a replica stores an intent before its attempt is sent: whatever the query finds, the attempt is the only
 * one that may have been executed. The key is attempted again only on the word that nothing of the attempt was sent, which
 * its process gives only if nothing of it will be.
 */
final class AttemptQuery {
    private static final long TIMEOUT_MILLIS = 400;
    /** Delay before a shield whose attempt is in progress is asked again. */
    private static final long POLL_INTERVAL_MS = 50;

    private final EventLoop loop;
    private final Transport transport;
    private final String key;
    private final long attemptId;
    private final Consumer<Result> callback;
    private int unanswered;
    private boolean markedNotSent;
    private boolean finished;

    /** How the attempt ended. */
    enum End {
        /** The attempt was executed, and its response is known. */
        COMPLETED,
        /** Nothing of the attempt was sent to an origin. */
        NOT_SENT,
        /** Nobody who answered knows how the attempt ended. */
        UNKNOWN
    }

    /** {@code outcome}: the outcome of a completed attempt, or null. */
    record Result(End end, KeyedOutcome outcome) {}

    AttemptQuery(
            final EventLoop loop,
            final Transport transport,
            final String key,
            final long attemptId,
            final Consumer<Result> callback) {
        this.loop = loop;
        this.transport = transport;
        this.key = key;
        this.attemptId = attemptId;
        this.callback = callback;
    }

    void start(final List<NodeId> shields, final List<NodeId> replicas) {
        final Runnable onNoneKnows =
                () -> askAll(replicas, new OutcomeRequest(key), () -> finish(unknownUnlessMarked()));
        askAll(shields, new OutcomeRequest(key, attemptId), onNoneKnows);
    }

    private void askAll(final List<NodeId> nodes, final OutcomeRequest request, final Runnable onNoneKnows) {
        unanswered = nodes.size();
        if (nodes.isEmpty()) {
            onNoneKnows.run();
        }
        nodes.forEach(node -> ask(node, request, onNoneKnows));
    }

    private void ask(final NodeId node, final OutcomeRequest request, final Runnable onNoneKnows) {
        transport.request(node, request, TIMEOUT_MILLIS, reply -> onReply(node, request, reply, onNoneKnows));
    }

    private void onReply(
            final NodeId node, final OutcomeRequest request, final Reply reply, final Runnable onNoneKnows) {
        if (finished) {
            return;
        }
        final OutcomeResponse response = reply.as(OutcomeResponse.class).orElse(null);
        if (response != null && response.isInProgress()) {
            loop.schedule(POLL_INTERVAL_MS, () -> ask(node, request, onNoneKnows));
            return;
        }
        if (response != null && response.keyedRecord() != null) {
            onRecord(response.keyedRecord(), request.attemptId() != null);
        }
        if (!finished && --unanswered == 0) {
            onNoneKnows.run();
        }
    }

    private void onRecord(final KeyedRecord record, final boolean fromItsProcess) {
        if (record.outcome() != null && record.outcome().complete()) {
            finish(new Result(End.COMPLETED, record.outcome()));
        } else if (record.notSent() && record.attemptId() == attemptId) {
            markedNotSent = true;
            if (fromItsProcess) {
                finish(unknownUnlessMarked());
            }
        }
    }

    private Result unknownUnlessMarked() {
        return new Result(markedNotSent ? End.NOT_SENT : End.UNKNOWN, null);
    }

    private void finish(final Result result) {
        if (!finished) {
            finished = true;
            callback.accept(result);
        }
    }
}
