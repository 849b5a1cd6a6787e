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

/** Fetches one outcome with its body: the next replica is asked when one has none, or is late. */
final class OutcomeFetch {
    private static final long TIMEOUT_MILLIS = 1500;
    private static final long HEDGE_DELAY_MS = 400;
    private final EventLoop loop;
    private final Transport transport;
    private final List<NodeId> keepers;
    private final String key;
    private final Consumer<KeyedOutcome> callback;
    private int keepersAsked;
    private int keepersAnswered;
    private boolean finished;

    /** {@code callback} gets the outcome, or null where no replica has one. */
    OutcomeFetch(
            final EventLoop loop,
            final Transport transport,
            final List<NodeId> keepers,
            final String key,
            final Consumer<KeyedOutcome> callback) {
        this.loop = loop;
        this.transport = transport;
        this.keepers = keepers;
        this.key = key;
        this.callback = callback;
    }

    void start() {
        askNext(0);
    }

    /** Asks the replica at {@code index}, unless it was asked already. */
    private void askNext(final int index) {
        if (finished || index != keepersAsked || index >= keepers.size()) {
            return;
        }
        keepersAsked++;
        transport.request(keepers.get(index), new OutcomeRequest(key), TIMEOUT_MILLIS, reply -> {
            keepersAnswered++;
            final KeyedRecord keyedRecord = reply.as(OutcomeResponse.class)
                    .map(OutcomeResponse::keyedRecord)
                    .orElse(null);
            if (keyedRecord != null
                    && keyedRecord.outcome() != null
                    && keyedRecord.outcome().complete()) {
                finish(keyedRecord.outcome());
            } else if (keepersAnswered == keepers.size()) {
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
