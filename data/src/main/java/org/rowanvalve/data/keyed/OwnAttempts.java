package org.rowanvalve.data.keyed;

import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The attempts of this process, whatever token they were made under: those in progress, the latest ones of which nothing
 * was sent, and the latest ones whose outcome too few replicas have stored. The next holder of a shard asks for them before it says that the outcome of a key is unknown.
 */
final class OwnAttempts {
    /** At about 100 bytes each. */
    static final int MAX_NOT_SENT = 4096;
    /** Each holds a response with its body. */
    static final int MAX_UNRECORDED = 64;

    private final Map<Long, KeyedEntry> inProgress = new HashMap<>();
    private final Map<Long, KeyedEntry> unrecorded = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(final Map.Entry<Long, KeyedEntry> eldest) {
            return size() > MAX_UNRECORDED;
        }
    };
    private final Set<Long> notSent = Collections.newSetFromMap(new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(final Map.Entry<Long, Boolean> eldest) {
            return size() > MAX_NOT_SENT;
        }
    });

    void begin(final long attemptId, final KeyedEntry entry) {
        inProgress.put(attemptId, entry);
    }

    /** {@code nothingSent}: no byte of the attempt was sent to an origin, and none will be. */
    void end(final long attemptId, final boolean nothingSent) {
        inProgress.remove(attemptId);
        if (nothingSent) {
            notSent.add(attemptId);
        }
    }

    /** Keeps the outcome of an ended attempt that too few replicas have stored. */
    void keepUnrecorded(final long attemptId, final KeyedEntry entry) {
        unrecorded.put(attemptId, entry);
    }

    Optional<KeyedEntry> unrecorded(final long attemptId) {
        return Optional.ofNullable(unrecorded.get(attemptId));
    }

    Optional<KeyedEntry> inProgress(final long attemptId) {
        return Optional.ofNullable(inProgress.get(attemptId));
    }

    boolean isNotSent(final long attemptId) {
        return notSent.contains(attemptId);
    }

    boolean anyInProgress() {
        return !inProgress.isEmpty();
    }
}
