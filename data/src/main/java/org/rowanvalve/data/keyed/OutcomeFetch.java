package org.rowanvalve.data.keyed;

import java.util.List;
import java.util.function.Consumer;
import org.rowanvalve.common.message.KeyedOutcome;
import org.rowanvalve.common.message.KeyedRecord;
import org.rowanvalve.common.message.OutcomeRequest;
import org.rowanvalve.common.message.OutcomeResponse;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;

/**
 * Fetches one outcome with its body. If a replica has no such outcome, or has not responded after the hedge delay, the
 * next replica is asked too.
 */
final class OutcomeFetch {
    private static final long TIMEOUT_MILLIS = 1500;
    private static final long HEDGE_DELAY_MS = 400;
    private final EventLoop loop;
    private final Transport transport;
    private final List<NodeId> replicas;
    private final String key;
    private final Consumer<KeyedOutcome> callback;
    private int replicasAsked;
    private int replicasAnswered;
    private boolean finished;

    /** {@code callback} gets the outcome, or null if no replica returned one with a body. */
    OutcomeFetch(
            final EventLoop loop,
            final Transport transport,
            final List<NodeId> replicas,
            final String key,
            final Consumer<KeyedOutcome> callback) {
        this.loop = loop;
        this.transport = transport;
        this.replicas = replicas;
        this.key = key;
        this.callback = callback;
    }

    void start() {
        askNext(0);
    }

    /** Asks the replica at {@code index}, unless it was already asked. */
    private void askNext(final int index) {
        if (finished || index != replicasAsked || index >= replicas.size()) {
            return;
        }
        replicasAsked++;
        transport.request(replicas.get(index), new OutcomeRequest(key), TIMEOUT_MILLIS, reply -> {
            replicasAnswered++;
            final KeyedRecord keyedRecord = reply.as(OutcomeResponse.class)
                    .map(OutcomeResponse::keyedRecord)
                    .orElse(null);
            if (keyedRecord != null
                    && keyedRecord.outcome() != null
                    && keyedRecord.outcome().complete()) {
                finish(keyedRecord.outcome());
            } else if (replicasAnswered == replicas.size()) {
                finish(null);
            } else {
                askNext(index + 1);
            }
        });
        loop.schedule(HEDGE_DELAY_MS, () -> askNext(index + 1));
    }

    private void finish(final KeyedOutcome outcome) {
        if (!finished) {
            finished = true;
            callback.accept(outcome);
        }
    }
}
