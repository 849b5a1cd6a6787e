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

/** Three keepers of records on a loop of virtual time, with answers that can be late or lost. */
abstract class KeyedRecordFixture {
    static final NodeId A = NodeId.of("a");
    static final NodeId B = NodeId.of("b");
    static final NodeId C = NodeId.of("c");
    static final FencingToken TOKEN = new FencingToken(1, 1);
    final VirtualTimeLoop loop = new VirtualTimeLoop();
    final EventJournal journal = new EventJournal(loop, 500);
    final Quorum quorum = new Quorum(List.of(A, B, C), Set.of());
    final RecordRetention retention = new RecordRetention(60_000, () -> 0);
    final Map<NodeId, KeyedRecordStore> keepers = new HashMap<>();
    final List<Message> asked = new ArrayList<>();
    /** Bytes of all answers, by who gave them. */
    final Map<NodeId, Long> bytes = new TreeMap<>();

    long largest;
    /** How long an answer takes on its way; below zero it is lost. */
    BiFunction<NodeId, Message, Long> delay = (id, m) -> 1L;

    static final class Rows implements StableStorage {
        final Map<String, byte[]> rows = new TreeMap<>();
        EventLoop slow;

        @Override
        public Map<String, byte[]> load() {
            return new HashMap<>(rows);
        }

        @Override
        public void save(final Map<String, byte[]> some, final Consumer<Boolean> done) {
            if (slow == null) {
                sync(some, done);
            } else {
                slow.schedule(50, () -> sync(some, done));
            }
        }

        void sync(final Map<String, byte[]> some, final Consumer<Boolean> done) {
            some.forEach((k, v) -> {
                if (v == null) {
                    rows.remove(k);
                } else {
                    rows.put(k, v);
                }
            });
            done.accept(true);
        }
    }

    final Transport transport = (recipient, msg, wait, then) -> {
        asked.add(msg);
        final boolean[] over = {false};
        loop.schedule(wait, () -> {
            if (!over[0]) {
                over[0] = true;
                then.accept(Reply.failed(Reply.Failure.NO_RESPONSE));
            }
        });
        answer(recipient, msg, m -> {
            final long size = MessageCodec.encode(new MessageCodec.Frame(1, 1, 0, recipient, m)).length;
            bytes.merge(recipient, size, Long::sum);
            largest = Math.max(largest, size);
            final long ms = delay.apply(recipient, msg);
            if (ms >= 0) {
                loop.schedule(ms, () -> {
                    if (!over[0]) {
                        over[0] = true;
                        then.accept(Reply.of(m));
                    }
                });
            }
        });
    };

    void answer(final NodeId recipient, final Message msg, final Consumer<Message> back) {
        final KeyedRecordStore k = keepers.get(recipient);
        if (k != null && msg instanceof RecordChecksumsRequest m) {
            k.onChecksumsRequest(m, back);
        } else if (k != null && msg instanceof RecordPageRequest m) {
            k.onPageRequest(m, back);
        }
    }

    KeyedRecordStore keeper(final NodeId id, final Rows disk, final boolean lost) throws Exception {
        final KeyedRecordStore k = new KeyedRecordStore(
                id,
                "b" + keepers.size(),
                VotingConfiguration.of(quorum),
                transport,
                loop,
                loop::now,
                new MonitoredStorage(disk, loop),
                journal,
                retention);
        keepers.put(id, k);
        k.start();
        if (lost) {
            disk.save(k.markIncomplete(), ok -> {});
        }
        return k;
    }

    static KeyedRecord note(final String key, final int body) {
        final KeyedOutcome outcome = body < 0 ? null : new KeyedOutcome(200, Map.of("a", "b"), new byte[body], true);
        return new KeyedRecord(key, 3, TOKEN, "d".repeat(64), 7, false, outcome);
    }

    static RecordReadRequest first(final FencingToken token, final String boot) {
        return new RecordReadRequest(0, 3, token, boot, true, null, 0);
    }

    static RecordReadResponse read(final KeyedRecordStore k, final RecordReadRequest ask) {
        final List<Message> got = new ArrayList<>();
        k.onRead(ask, got::add);
        return (RecordReadResponse) got.get(0);
    }

    static void fill(final KeyedRecordStore k, final int from, final int to, final int body) {
        final long era = read(k, first(TOKEN, "w")).era();
        for (int i = from; i < to; i++) {
            k.onWrite(new RecordWriteRequest(0, note("route|service|key-" + i, body), era), m -> {});
        }
    }
}
