package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.Hash;

/**
 * The record of one keyed request: an intent or an outcome.
 *
 * @param attemptId identifies one attempt of one process
 * @param notSent whether nothing of that attempt was sent to an origin
 * @param outcome the outcome; null for an intent
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

    /** Returns this record without the headers and body of its outcome, but with the outcome's status. */
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

    /** Returns an attempt id that combines a hash of the process with the number of the attempt in that process. */
    public static long attemptId(final String process, final long number) {
        return (Hash.hash64(process) << ATTEMPT_NUMBER_BITS) + number;
    }

    public static boolean isSameProcess(final long attemptId, final long otherAttemptId) {
        return attemptId >> ATTEMPT_NUMBER_BITS == otherAttemptId >> ATTEMPT_NUMBER_BITS;
    }

    /**
     * Whether this record tells how the attempt ended whose intent is {@code stored}: its outcome, or that nothing of it was
     * sent. Only the process that made the attempt can know that, whichever token it has by now; no other attempt of the
     * key is affected by it.
     */
    public boolean concludes(final KeyedRecord stored) {
        return stored != null
                && stored.attemptId == attemptId
                && stored.outcome == null
                && !stored.notSent
                && (outcome != null || notSent);
    }

    /** Returns the record that a replica stores after this record arrived; records may arrive in any order. */
    public KeyedRecord mergedOver(final KeyedRecord stored) {
        return stored == null || outcome != null || !isObsoleteAfter(stored) ? this : stored;
    }

    /** Whether this record, which has no outcome, adds nothing to a replica that has {@code stored}. */
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

    /**
     * Merges several replicas' records of one key: an attempt counts as not sent only if no other attempt is known. Of
     * several attempts of one process the latest is kept, since the process began it after the earlier ones were rejected.
     */
    public static KeyedRecord resolve(final Collection<KeyedRecord> replicaRecords) {
        final KeyedRecord highest = replicaRecords.stream()
                .max(Comparator.comparing(KeyedRecord::token))
                .orElseThrow();
        final List<KeyedRecord> latest = replicaRecords.stream()
                .filter(keyedRecord -> keyedRecord.token.equals(highest.token))
                .toList();
        return replicaRecords.stream()
                .filter(keyedRecord -> keyedRecord.outcome != null)
                .findFirst()
                .or(() -> latest.stream()
                        .filter(keyedRecord -> !keyedRecord.notSent
                                && latest.stream().noneMatch(c -> c.notSent && c.attemptId == keyedRecord.attemptId))
                        .max(Comparator.comparingLong(KeyedRecord::attemptId)))
                .or(() -> latest.stream().filter(KeyedRecord::notSent).findFirst())
                .orElse(highest);
    }
}
