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
 * Reads the records of one shard from the replicas of one epoch under one fencing token. A replica is read again if its
 * era changes. Each replica is read independently, page by page, with backoff and an increasing time-out, so a slow
 * replica does not delay the others, and the pages already received from other replicas stay valid. At most one request
 * to each replica is open, regardless of how many keyed requests wait for the records.
 */
final class RecordReader {
    private static final long INITIAL_TIMEOUT_MILLIS = 1000;
    private static final int MAX_DOUBLINGS = 3;
    private static final long INITIAL_BACKOFF_MS = 100;
    private static final long MAX_BACKOFF_MS = 1000;
    private final VotingConfiguration votingConfiguration;
    private final Quorum quorum;
    private final EventLoop loop;
    private final Transport transport;
    private final StoreHealth storeHealth;
    private final int shard;
    private final FencingToken token;
    private final String reader;
    private final BooleanSupplier holdsLease;
    private final Listener listener;
    private final Map<NodeId, ReplicaRead> readsByReplica = new LinkedHashMap<>();
    private long startedAt;
    private boolean stopped;

    interface Listener {
        /** Receives all records of one replica, read in one era. */
        void onReplicaRead(List<KeyedRecord> records);

        /** The result of {@link #isReady} may have changed. */
        void onProgress();

        /** A replica was read with a higher token, so the token of this read is superseded. */
        void onSuperseded();
    }

    /** The progress of reading one replica. */
    private static final class ReplicaRead {
        private final List<KeyedRecord> records = new ArrayList<>();
        private boolean requested;
        private boolean backingOff;
        private boolean complete;
        private boolean eraKnown;
        private boolean responded;
        private long era;
        private String afterKey;
        private int failures;

        void reset() {
            records.clear();
            afterKey = null;
            complete = false;
            eraKnown = false;
        }

        long timeoutMs() {
            return INITIAL_TIMEOUT_MILLIS << Math.min(failures, MAX_DOUBLINGS);
        }

        long backoffMs() {
            return Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << Math.min(failures, MAX_DOUBLINGS));
        }
    }

    /** {@code holdsLease}: whether this node still holds the lease of the shard under {@code token}. */
    RecordReader(
            final VotingConfiguration votingConfiguration,
            final EventLoop loop,
            final Transport transport,
            final StoreHealth storeHealth,
            final int shard,
            final FencingToken token,
            final String reader,
            final BooleanSupplier holdsLease,
            final Listener listener) {
        this.votingConfiguration = votingConfiguration;
        this.quorum = votingConfiguration.quorum();
        this.loop = loop;
        this.transport = transport;
        this.storeHealth = storeHealth;
        this.shard = shard;
        this.token = token;
        this.reader = reader;
        this.holdsLease = holdsLease;
        this.listener = listener;
        quorum.voters().forEach(replica -> readsByReplica.put(replica, new ReplicaRead()));
        startedAt = loop.now();
    }

    /**
     * Requests the next page of every replica that is not read completely, has no open request and is not backing off.
     */
    void start() {
        if (!stopped) {
            readsByReplica.forEach(this::requestPage);
            loop.schedule(StoreHealth.SILENCE_TIMEOUT_MILLIS, listener::onProgress);
        }
    }

    void stop() {
        stopped = true;
    }

    /** Reads a single replica again, because its era ended or another process has read the shard from this replica. */
    void readAgain(final NodeId replica) {
        final ReplicaRead read = readsByReplica.get(replica);
        if (read != null && read.eraKnown) {
            read.reset();
            startedAt = loop.now();
            requestPage(replica, read);
        }
    }

    /** Whether a majority of replicas with complete records, and every reachable store, has been read to the end. */
    boolean isReady() {
        return quorum.isReadQuorum(completeReplicas())
                && storeHealth.allReachableSynced(respondingReplicas(), loop.now() - startedAt);
    }

    Set<NodeId> completeReplicas() {
        final Set<NodeId> replicas = new HashSet<>();
        readsByReplica.forEach((replica, read) -> {
            if (read.complete) {
                replicas.add(replica);
            }
        });
        return replicas;
    }

    private Set<NodeId> respondingReplicas() {
        final Set<NodeId> replicas = new HashSet<>();
        readsByReplica.forEach((replica, read) -> {
            if (read.responded) {
                replicas.add(replica);
            }
        });
        return replicas;
    }

    /** The era in which a replica was read, or empty if the replica has not been read in its current era. */
    OptionalLong eraOf(final NodeId replica) {
        final ReplicaRead read = readsByReplica.get(replica);
        return read != null && read.eraKnown ? OptionalLong.of(read.era) : OptionalLong.empty();
    }

    private void requestPage(final NodeId replica, final ReplicaRead read) {
        if (stopped || read.complete || read.requested || read.backingOff || !holdsLease.getAsBoolean()) {
            return;
        }
        read.requested = true;
        final RecordReadRequest request =
                new RecordReadRequest(quorum.epoch(), shard, token, reader, true, read.afterKey, read.era);
        transport.request(replica, request, read.timeoutMs(), reply -> {
            read.requested = false;
            votingConfiguration.isEpochMismatch(replica, reply);
            if (!stopped) {
                onResponse(replica, read, reply);
            }
        });
    }

    private void onResponse(final NodeId replica, final ReplicaRead read, final Reply reply) {
        if (RejectedResponse.isStorageUnavailable(reply)) {
            storeHealth.markSilent(replica);
        }
        final RecordReadResponse page = reply.as(RecordReadResponse.class).orElse(null);
        if (page != null && token.isBelow(page.highestToken())) {
            stopped = true;
            listener.onSuperseded();
            return;
        }
        if (page == null || !page.granted()) {
            retryLater(replica, read, page != null);
        } else {
            onPage(replica, read, page);
        }
        listener.onProgress();
    }

    private void onPage(final NodeId replica, final ReplicaRead read, final RecordReadResponse page) {
        storeHealth.recordSync(replica);
        read.responded = true;
        if (read.afterKey != null && page.era() != read.era) {
            retryLater(replica, read, true);
            return;
        }
        read.era = page.era();
        read.records.addAll(page.records());
        if (page.nextKey() != null) {
            read.afterKey = page.nextKey();
            requestPage(replica, read);
        } else if (page.incomplete()) {
            retryLater(replica, read, true);
            read.eraKnown = true;
        } else {
            read.failures = 0;
            read.eraKnown = true;
            read.complete = true;
            listener.onReplicaRead(List.copyOf(read.records));
            read.records.clear();
            read.afterKey = null;
        }
    }

    /** Repeats the request after a backoff. {@code fromStart}: reads the replica again from its first page. */
    private void retryLater(final NodeId replica, final ReplicaRead read, final boolean fromStart) {
        if (fromStart) {
            read.reset();
        }
        read.failures++;
        read.backingOff = true;
        loop.schedule(read.backoffMs(), () -> {
            read.backingOff = false;
            requestPage(replica, read);
        });
    }
}
