package org.rowanvalve.data.keyed;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.rowanvalve.common.message.KeyedRecord;
import org.rowanvalve.common.message.RecordReadRequest;
import org.rowanvalve.common.message.RecordReadResponse;
import org.rowanvalve.common.message.RejectedResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.voting.Quorum;
import org.rowanvalve.control.voting.StoreHealth;
import org.rowanvalve.control.voting.VotingConfiguration;

/**
 * Reads one shard's records from the replicas of one epoch, once for a token and for each replica's era. Each replica
 * is read by itself, page by page, with backoff and a growing time-out: one that is late delays no other, and pages
 * that others have answered stay valid. However many requests wait, at most one request to each replica is open.
 */
final class RecordReader {
    private static final long FIRST_TIMEOUT_MILLIS = 1000;
    private static final int TIMEOUT_DOUBLINGS = 3;
    private static final long FIRST_PAUSE_MS = 100;
    private static final long LONGEST_PAUSE_MS = 1000;
    private final VotingConfiguration votingConfiguration;
    private final Quorum quorum;
    private final EventLoop loop;
    private final Transport transport;
    private final StoreHealth storeHealth;
    private final int shard;
    private final FencingToken token;
    private final String reader;
    private final BooleanSupplier stillWanted;
    private final Listener listener;
    private final Map<NodeId, KeeperRead> readsByKeeper = new LinkedHashMap<>();
    private long startedAt;
    private boolean stopped;

    interface Listener {
        /** All records of one replica, read in one era. */
        void onKeeperRead(List<KeyedRecord> notes);

        /** Something changed that {@link #isReady} may rest on. */
        void onProgress();

        /** A higher token was read somewhere: this one is over. */
        void onSuperseded();
    }

    /** How far one replica has been read. */
    private static final class KeeperRead {
        private final List<KeyedRecord> notes = new ArrayList<>();
        private boolean requested;
        private boolean paused;
        private boolean complete;
        private boolean eraKnown;
        private boolean responded;
        private long era;
        private String afterKey;
        private int failures;

        void reset() {
            notes.clear();
            afterKey = null;
            complete = false;
            eraKnown = false;
        }

        long timeoutMs() {
            return FIRST_TIMEOUT_MILLIS << Math.min(failures, TIMEOUT_DOUBLINGS);
        }

        long pauseMs() {
            return Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS << Math.min(failures, TIMEOUT_DOUBLINGS));
        }
    }

    /** {@code stillWanted}: whether the shard is still held under this token. */
    RecordReader(
            final VotingConfiguration votingConfiguration,
            final EventLoop loop,
            final Transport transport,
            final StoreHealth storeHealth,
            final int shard,
            final FencingToken token,
            final String reader,
            final BooleanSupplier stillWanted,
            final Listener listener) {
        this.votingConfiguration = votingConfiguration;
        this.quorum = votingConfiguration.quorum();
        this.loop = loop;
        this.transport = transport;
        this.storeHealth = storeHealth;
        this.shard = shard;
        this.token = token;
        this.reader = reader;
        this.stillWanted = stillWanted;
        this.listener = listener;
        quorum.voters().forEach(keeper -> readsByKeeper.put(keeper, new KeeperRead()));
        startedAt = loop.now();
    }

    /** Asks every replica that is neither read, nor being asked, nor waiting for its next request. */
    void start() {
        if (!stopped) {
            readsByKeeper.forEach(this::requestPage);
            loop.schedule(StoreHealth.SILENCE_TIMEOUT_MILLIS, listener::onProgress);
        }
    }

    void stop() {
        stopped = true;
    }

    /** A replica's era ended, or it has another reader now: only it is read again. */
    void readAgain(final NodeId keeper) {
        final KeeperRead read = readsByKeeper.get(keeper);
        if (read != null && read.eraKnown) {
            read.reset();
            startedAt = loop.now();
            requestPage(keeper, read);
        }
    }

    /** A majority of replicas with complete records was read to the end, and every store that is heard from. */
    boolean isReady() {
        return quorum.isReadQuorum(completeKeepers())
                && storeHealth.allReachableSynced(respondingKeepers(), loop.now() - startedAt);
    }

    Set<NodeId> completeKeepers() {
        final Set<NodeId> keepers = new HashSet<>();
        readsByKeeper.forEach((keeper, reply) -> {
            if (reply.complete) {
                keepers.add(keeper);
            }
        });
        return keepers;
    }

    private Set<NodeId> respondingKeepers() {
        final Set<NodeId> keepers = new HashSet<>();
        readsByKeeper.forEach((keeper, reply) -> {
            if (reply.responded) {
                keepers.add(keeper);
            }
        });
        return keepers;
    }

    /** The era in which a replica was read, or none where it is not read in its present one. */
    OptionalLong eraOf(final NodeId keeper) {
        final KeeperRead read = readsByKeeper.get(keeper);
        return read != null && read.eraKnown ? OptionalLong.of(read.era) : OptionalLong.empty();
    }

    private void requestPage(final NodeId keeper, final KeeperRead read) {
        if (stopped || read.complete || read.requested || read.paused || !stillWanted.getAsBoolean()) {
            return;
        }
        read.requested = true;
        final RecordReadRequest request =
                new RecordReadRequest(quorum.epoch(), shard, token, reader, true, read.afterKey, read.era);
        transport.request(keeper, request, read.timeoutMs(), reply -> {
            read.requested = false;
            votingConfiguration.isEpochMismatch(keeper, reply);
            if (!stopped) {
                onResponse(keeper, read, reply);
            }
        });
    }

    private void onResponse(final NodeId keeper, final KeeperRead read, final Reply reply) {
        if (RejectedResponse.isStorageUnavailable(reply)) {
            storeHealth.markSilent(keeper);
        }
        final RecordReadResponse page = reply.as(RecordReadResponse.class).orElse(null);
        if (page != null && token.isBelow(page.highestToken())) {
            stopped = true;
            listener.onSuperseded();
            return;
        }
        if (page == null || !page.granted()) {
            retryLater(keeper, read, page != null);
        } else {
            onPage(keeper, read, page);
        }
        listener.onProgress();
    }

    private void onPage(final NodeId keeper, final KeeperRead read, final RecordReadResponse page) {
        storeHealth.recordSync(keeper);
        read.responded = true;
        if (read.afterKey != null && page.era() != read.era) {
            retryLater(keeper, read, true);
            return;
        }
        read.era = page.era();
        read.notes.addAll(page.records());
        if (page.nextKey() != null) {
            read.afterKey = page.nextKey();
            requestPage(keeper, read);
        } else if (page.incomplete()) {
            retryLater(keeper, read, true);
            read.eraKnown = true;
        } else {
            read.failures = 0;
            read.eraKnown = true;
            read.complete = true;
            listener.onKeeperRead(List.copyOf(read.notes));
            read.notes.clear();
            read.afterKey = null;
        }
    }

    /** Requests a late page again; with {@code fromStart} the replica from its first page on. */
    private void retryLater(final NodeId keeper, final KeeperRead read, final boolean fromStart) {
        if (fromStart) {
            read.reset();
        }
        read.failures++;
        read.paused = true;
        loop.schedule(read.pauseMs(), () -> {
            read.paused = false;
            requestPage(keeper, read);
        });
    }
}
