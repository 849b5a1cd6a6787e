package org.rowanvalve.data.keyed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.EpochMismatchResponse;
import org.rowanvalve.common.message.KeyedOutcome;
import org.rowanvalve.common.message.KeyedRecord;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.MessageCodec;
import org.rowanvalve.common.message.OutcomeRequest;
import org.rowanvalve.common.message.RecordChecksumsRequest;
import org.rowanvalve.common.message.RecordPageRequest;
import org.rowanvalve.common.message.RecordReadRequest;
import org.rowanvalve.common.message.RecordReadResponse;
import org.rowanvalve.common.message.RecordWriteRequest;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.StableStorage;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.consensus.MonitoredStorage;
import org.rowanvalve.control.record.KeyedRecordStore;
import org.rowanvalve.control.record.RecordRetention;
import org.rowanvalve.control.voting.Quorum;
import org.rowanvalve.control.voting.VotingConfiguration;
import org.rowanvalve.data.VirtualTimeLoop;

/**
 * Real record replicas behind a simulated transport on virtual time, which counts messages and bytes and can delay or
 * lose responses.
 */
final class RecordReplicasFixture implements Transport {
    static final List<NodeId> ALL = List.of(NodeId.of("a"), NodeId.of("b"), NodeId.of("c"));
    static final RecordRetention RETENTION = new RecordRetention(60_000, () -> 0);
    final VirtualTimeLoop loop = new VirtualTimeLoop();
    final EventJournal journal = new EventJournal(loop, 500);
    final VotingConfiguration votingConfiguration = VotingConfiguration.of(new Quorum(ALL, Set.of()));
    final Map<NodeId, KeyedRecordStore> stores = new TreeMap<>();
    /** The processes that answer for their own attempts. */
    final Map<NodeId, KeyedRequests> shields = new HashMap<>();
    /** The number of requests sent, by message type. */
    final Map<String, Integer> requestCounts = new TreeMap<>();

    /** The encoded bytes of the responses, by message type. */
    final Map<String, Long> responseBytes = new TreeMap<>();
    /** The delay of each request in ms; if negative, the request is lost. */
    BiFunction<NodeId, Message, Long> requestDelayMs = (id, m) -> 0L;
    /** The delay of each response in ms; if negative, the response is lost. */
    BiFunction<NodeId, Message, Long> responseDelayMs = (id, m) -> 1L;
    /** The replicas that have adopted a later epoch than the requester. */
    final Set<NodeId> withLaterEpoch = new HashSet<>();

    private long starts;

    RecordReplicasFixture() {
        ALL.forEach(id -> startReplica(id, new HashMap<>()));
    }

    /** Starts the process of a replica on the rows that its disk contains. */
    KeyedRecordStore startReplica(final NodeId id, final Map<String, byte[]> rows) {
        final StableStorage storage = new StableStorage() {
            @Override
            public Map<String, byte[]> load() {
                return new HashMap<>(rows);
            }

            @Override
            public void save(final Map<String, byte[]> changedRows, final Consumer<Boolean> done) {
                changedRows.forEach((row, v) -> rows.compute(row, (key, previous) -> v));
                done.accept(true);
            }
        };
        final KeyedRecordStore replica = new KeyedRecordStore(
                id,
                "b" + ++starts,
                votingConfiguration,
                this,
                loop,
                loop::now,
                new MonitoredStorage(storage, loop),
                journal,
                RETENTION);
        try {
            replica.start();
        } catch (final org.rowanvalve.common.runtime.StorageException e) {
            throw new IllegalStateException(e);
        }
        stores.put(id, replica);
        return replica;
    }

    /** Writes records of a shard to all replicas, as another process under a lower token. */
    void writeRecords(final int shard, final int records, final int bodyBytes) {
        for (final KeyedRecordStore replica : stores.values()) {
            final List<Message> responses = new ArrayList<>();
            replica.onRead(
                    new RecordReadRequest(0, shard, new FencingToken(1, 0), "before", true, null, 0), responses::add);
            final long era = ((RecordReadResponse) responses.get(0)).era();
            for (int i = 0; i < records; i++) {
                replica.onWrite(new RecordWriteRequest(0, keyedRecord(shard, i, bodyBytes), era), m -> {});
            }
        }
    }

    static KeyedRecord keyedRecord(final int shard, final int i, final int bodyBytes) {
        final KeyedOutcome outcome = bodyBytes < 0 ? null : new KeyedOutcome(201, Map.of(), new byte[bodyBytes], true);
        return new KeyedRecord(key(shard, i), shard, new FencingToken(1, 0), "d".repeat(64), 7, false, outcome);
    }

    static String key(final int shard, final int i) {
        return "checkout|booking|key-" + shard + "-" + i;
    }

    @Override
    public void request(
            final NodeId recipient, final Message message, final long timeoutMs, final Consumer<Reply> callback) {
        requestCounts.merge(message.getClass().getSimpleName(), 1, Integer::sum);
        final boolean[] completed = {false};
        loop.schedule(timeoutMs, () -> {
            if (!completed[0]) {
                completed[0] = true;
                callback.accept(Reply.failed(Reply.Failure.NO_RESPONSE));
            }
        });
        final long delayMs = requestDelayMs.apply(recipient, message);
        final Runnable delivery = () -> deliver(recipient, message, completed, callback);
        if (delayMs == 0) {
            delivery.run();
        } else if (delayMs > 0) {
            loop.schedule(delayMs, delivery);
        }
    }

    private void deliver(
            final NodeId recipient, final Message message, final boolean[] completed, final Consumer<Reply> callback) {
        handle(recipient, message, m -> {
            responseBytes.merge(
                    m.getClass().getSimpleName(),
                    (long) MessageCodec.encode(new MessageCodec.Frame(1, 1, 0, recipient, m)).length,
                    Long::sum);
            final long ms = responseDelayMs.apply(recipient, message);
            if (ms >= 0) {
                loop.schedule(ms, () -> {
                    if (!completed[0]) {
                        completed[0] = true;
                        callback.accept(Reply.of(m));
                    }
                });
            }
        });
    }

    private void handle(final NodeId recipient, final Message message, final Consumer<Message> callback) {
        final KeyedRecordStore replica = stores.get(recipient);
        if (shields.containsKey(recipient) && message instanceof OutcomeRequest m) {
            shields.get(recipient).onOutcomeRequest(m, callback);
            return;
        }
        if (replica == null) {
            return;
        }
        if (withLaterEpoch.contains(recipient) && !(message instanceof OutcomeRequest)) {
            callback.accept(new EpochMismatchResponse(votingConfiguration.epoch() + 1, null));
        } else if (message instanceof RecordReadRequest m) {
            replica.onRead(m, callback);
        } else if (message instanceof RecordWriteRequest m) {
            replica.onWrite(m, callback);
        } else if (message instanceof OutcomeRequest m) {
            replica.onOutcomeRequest(m, callback);
        } else if (message instanceof RecordChecksumsRequest m) {
            replica.onChecksumsRequest(m, callback);
        } else if (message instanceof RecordPageRequest m) {
            replica.onPageRequest(m, callback);
        }
    }
}
