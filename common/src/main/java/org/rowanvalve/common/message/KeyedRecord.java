package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.rowanvalve.common.model.FencingToken;

/**
 * The record of one keyed request: an intent, or an outcome. {@code attemptId} names one attempt of one process; {@code
 * notSent}: nothing of that attempt was sent to an origin.
 */
public record KeyedRecord(
        String key,
        int shard,
        FencingToken token,
        @JsonProperty("digest") String requestDigest,
        @JsonProperty("turn") long attemptId,
        @JsonProperty("clear") boolean notSent,
        KeyedOutcome outcome) {
    public KeyedRecord withoutOutcome() {
        return new KeyedRecord(key, shard, token, requestDigest, attemptId, notSent, null);
    }

    /** The same without the body of its outcome; that there is one is still said. */
    public KeyedRecord withoutBody() {
        return outcome == null
                ? this
                : new KeyedRecord(
                        key,
                        shard,
                        token,
                        requestDigest,
                        attemptId,
                        notSent,
                        KeyedOutcome.bodyElsewhere(outcome.status()));
    }

    /** What one replica stores once this record has come to it. */
    public KeyedRecord mergedOver(final KeyedRecord stored) {
        if (stored == null || outcome != null) {
            return this;
        }
        final boolean same = stored.token.equals(token) && stored.attemptId == attemptId;
        return stored.outcome != null
                        || token.isBelow(stored.token)
                        || same && stored.notSent
                        || notSent && !same && !stored.token.isBelow(token)
                ? stored
                : this;
    }

    /** Merges several replicas' records of one key: an attempt counts as not sent only if no other attempt is known. */
    public static KeyedRecord resolve(final Collection<KeyedRecord> all) {
        final KeyedRecord top =
                all.stream().max(Comparator.comparing(KeyedRecord::token)).orElseThrow();
        final List<KeyedRecord> last = all.stream()
                .filter(keyedRecord -> keyedRecord.token.equals(top.token))
                .toList();
        return all.stream()
                .filter(keyedRecord -> keyedRecord.outcome != null)
                .findFirst()
                .or(() -> last.stream()
                        .filter(keyedRecord -> !keyedRecord.notSent
                                && last.stream().noneMatch(c -> c.notSent && c.attemptId == keyedRecord.attemptId))
                        .findFirst())
                .or(() -> last.stream().filter(KeyedRecord::notSent).findFirst())
                .orElse(top);
    }
}
