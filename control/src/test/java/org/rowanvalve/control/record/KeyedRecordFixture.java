package org.rowanvalve.control.record;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.KeyedOutcome;
import org.rowanvalve.common.message.KeyedRecord;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.MessageCodec;
import org.rowanvalve.common.message.RecordChecksumsRequest;
import org.rowanvalve.common.message.RecordPageRequest;
import org.rowanvalve.common.message.RecordReadRequest;
import org.rowanvalve.common.message.RecordReadResponse;
import org.rowanvalve.common.message.RecordWriteRequest;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.StableStorage;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.VirtualTimeLoop;
import org.rowanvalve.control.consensus.MonitoredStorage;
import org.rowanvalve.control.voting.Quorum;
import org.rowanvalve.control.voting.VotingConfiguration;

/** Three replicas of keyed records on an event loop with virtual time. Responses can be delayed or lost. */
abstract class KeyedRecordFixture {
    static final NodeId A = NodeId.of("a");
    static final NodeId B = NodeId.of("b");
    static final NodeId C = NodeId.of("c");
    static final FencingToken TOKEN = new FencingToken(1, 1);
    final VirtualTimeLoop loop = new VirtualTimeLoop();
    final EventJournal journal = new EventJournal(loop, 500);
    final Quorum quorum = new Quorum(List.of(A, B, C), Set.of());
    final RecordRetention retention = new RecordRetention(60_000, () -> 0);
    final Map<NodeId, KeyedRecordStore> replicas = new HashMap<>();
    final List<Message> requests = new ArrayList<>();
    /** Bytes of all responses, by the replica that sent them. */
    final Map<NodeId, Long> responseBytes = new TreeMap<>();

    long largestResponse;
    /** By how much the time of day has been stepped, in ms. */
    long wallClockStepMs;
    /** The delay of a response in ms; a response with a negative delay is lost. */
    BiFunction<NodeId, Message, Long> responseDelayMs = (id, m) -> 1L;

    /** Rows in memory; with {@code delayingLoop} set, each save completes after 50 ms. */
    static final class MemoryStorage implements StableStorage {
        final Map<String, byte[]> rows = new TreeMap<>();
        EventLoop delayingLoop;

        @Override
        public Map<String, byte[]> load() {
            return new HashMap<>(rows);
        }

        @Override
        public void save(final Map<String, byte[]> changes, final Consumer<Boolean> done) {
            if (delayingLoop == null) {
                sync(changes, done);
            } else {
                delayingLoop.schedule(50, () -> sync(changes, done));
            }
        }

        void sync(final Map<String, byte[]> changes, final Consumer<Boolean> done) {
            changes.forEach((key, value) -> {
                if (value == null) {
                    rows.remove(key);
                } else {
                    rows.put(key, value);
                }
            });
            done.accept(true);
        }
    }

    final Transport transport = (recipient, request, timeoutMs, then) -> {
        requests.add(request);
        final boolean[] completed = {false};
        loop.schedule(timeoutMs, () -> {
            if (!completed[0]) {
                completed[0] = true;
                then.accept(Reply.failed(Reply.Failure.NO_RESPONSE));
            }
        });
        respond(recipient, request, response -> {
            final long size = MessageCodec.encode(new MessageCodec.Frame(1, 1, 0, recipient, response)).length;
            responseBytes.merge(recipient, size, Long::sum);
            largestResponse = Math.max(largestResponse, size);
            final long ms = responseDelayMs.apply(recipient, request);
            if (ms >= 0) {
                loop.schedule(ms, () -> {
                    if (!completed[0]) {
                        completed[0] = true;
                        then.accept(Reply.of(response));
                    }
                });
            }
        });
    };

    void respond(final NodeId recipient, final Message request, final Consumer<Message> callback) {
        final KeyedRecordStore store = replicas.get(recipient);
        if (store != null && request instanceof RecordChecksumsRequest m) {
            store.onChecksumsRequest(m, callback);
        } else if (store != null && request instanceof RecordPageRequest m) {
            store.onPageRequest(m, callback);
        }
    }

    KeyedRecordStore replica(final NodeId id, final MemoryStorage storage, final boolean recordsLost) throws Exception {
        final KeyedRecordStore store = new KeyedRecordStore(
                id,
                "b" + replicas.size(),
                VotingConfiguration.of(quorum),
                transport,
                loop,
                () -> loop.now() + wallClockStepMs,
                new MonitoredStorage(storage, loop),
                journal,
                retention);
        replicas.put(id, store);
        store.start();
        if (recordsLost) {
            storage.save(store.markIncomplete(), ok -> {});
        }
        return store;
    }

    static KeyedRecord record(final String key, final int bodyBytes) {
        final KeyedOutcome outcome =
                bodyBytes < 0 ? null : new KeyedOutcome(200, Map.of("a", "b"), new byte[bodyBytes], true);
        return new KeyedRecord(key, 3, TOKEN, "d".repeat(64), 7, false, outcome);
    }

    static RecordReadRequest firstPage(final FencingToken token, final String boot) {
        return new RecordReadRequest(0, 3, token, boot, true, null, 0);
    }

    static RecordReadResponse read(final KeyedRecordStore store, final RecordReadRequest request) {
        final List<Message> responses = new ArrayList<>();
        store.onRead(request, responses::add);
        return (RecordReadResponse) responses.get(0);
    }

    static void fill(final KeyedRecordStore store, final int from, final int to, final int bodyBytes) {
        final long era = read(store, firstPage(TOKEN, "w")).era();
        for (int i = from; i < to; i++) {
            store.onWrite(new RecordWriteRequest(0, record("route|service|key-" + i, bodyBytes), era), m -> {});
        }
    }
}
