package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.Hash;

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
    private static final int ATTEMPT_NUMBER_BITS = 24;

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

    /** The id of an attempt: a part that names the process, and the number of the attempt among all of that process. */
    public static long attemptId(final String process, final long number) {
        return (Hash.hash64(process) << ATTEMPT_NUMBER_BITS) + number;
    }

    public static boolean isSameProcess(final long attemptId, final long otherAttemptId) {
        return attemptId >> ATTEMPT_NUMBER_BITS == otherAttemptId >> ATTEMPT_NUMBER_BITS;
    }

    /** What one replica stores once this record has come to it, in whatever order records arrive. */
    public KeyedRecord mergedOver(final KeyedRecord stored) {
        return stored == null || outcome != null || !isObsoleteAfter(stored) ? this : stored;
    }

    /** Whether a replica that holds {@code stored} has nothing to learn from this record, which has no outcome. */
    private boolean isObsoleteAfter(final KeyedRecord stored) {
        final boolean sameToken = stored.token.equals(token);
        final boolean sameAttempt = sameToken && stored.attemptId == attemptId;
        final boolean earlierAttempt =
                sameToken && isSameProcess(attemptId, stored.attemptId) && attemptId < stored.attemptId;
        return stored.outcome != null
                || token.isBelow(stored.token)
                || earlierAttempt
                || sameAttempt && stored.notSent
                || notSent && !sameAttempt && !stored.token.isBelow(token);
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
