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

/** Real record stores behind a net on virtual time that counts messages and bytes, and can be late or lose them. */
final class RecordKeepersFixture implements Transport {
    static final List<NodeId> ALL = List.of(NodeId.of("a"), NodeId.of("b"), NodeId.of("c"));
    static final RecordRetention RETENTION = new RecordRetention(60_000, () -> 0);
    final VirtualTimeLoop loop = new VirtualTimeLoop();
    final EventJournal journal = new EventJournal(loop, 500);
    final VotingConfiguration votingConfiguration = VotingConfiguration.of(new Quorum(ALL, Set.of()));
    final Map<NodeId, KeyedRecordStore> stores = new TreeMap<>();
    /** Questions by kind, and bytes of answers by kind. */
    final Map<String, Integer> asked = new TreeMap<>();

    final Map<String, Long> bytes = new TreeMap<>();
    /** How long an answer takes; below zero it is lost. */
    BiFunction<NodeId, Message, Long> delay = (id, m) -> 1L;
    /** Who goes by another epoch than the asker. */
    final Set<NodeId> ahead = new HashSet<>();

    private long boots;

    RecordKeepersFixture() {
        ALL.forEach(id -> begin(id, new HashMap<>()));
    }

    /** A keeper's process, on the rows of its disk. */
    KeyedRecordStore begin(final NodeId id, final Map<String, byte[]> rows) {
        final StableStorage storage = new StableStorage() {
            @Override
            public Map<String, byte[]> load() {
                return new HashMap<>(rows);
            }

            @Override
            public void save(final Map<String, byte[]> some, final Consumer<Boolean> done) {
                some.forEach((k, v) -> rows.compute(k, (x, old) -> v));
                done.accept(true);
            }
        };
        final KeyedRecordStore k = new KeyedRecordStore(
                id,
                "b" + ++boots,
                votingConfiguration,
                this,
                loop,
                loop::now,
                new MonitoredStorage(storage, loop),
                journal,
                RETENTION);
        try {
            k.start();
        } catch (final org.rowanvalve.common.runtime.StorageException e) {
            throw new IllegalStateException(e);
        }
        stores.put(id, k);
        return k;
    }

    /** Records of a shard written by another process under a lower token. */
    void fill(final int shard, final int records, final int body) {
        for (final KeyedRecordStore k : stores.values()) {
            final List<Message> got = new ArrayList<>();
            k.onRead(new RecordReadRequest(0, shard, new FencingToken(1, 0), "before", true, null, 0), got::add);
            final long era = ((RecordReadResponse) got.get(0)).era();
            for (int i = 0; i < records; i++) {
                k.onWrite(new RecordWriteRequest(0, note(shard, i, body), era), m -> {});
            }
        }
    }

    static KeyedRecord note(final int shard, final int i, final int body) {
        final KeyedOutcome outcome = body < 0 ? null : new KeyedOutcome(201, Map.of(), new byte[body], true);
        return new KeyedRecord(key(shard, i), shard, new FencingToken(1, 0), "d".repeat(64), 7, false, outcome);
    }

    static String key(final int shard, final int i) {
        return "checkout|booking|key-" + shard + "-" + i;
    }

    @Override
    public void request(final NodeId recipient, final Message msg, final long wait, final Consumer<Reply> then) {
        asked.merge(msg.getClass().getSimpleName(), 1, Integer::sum);
        final boolean[] over = {false};
        loop.schedule(wait, () -> {
            if (!over[0]) {
                over[0] = true;
                then.accept(Reply.failed(Reply.Failure.NO_RESPONSE));
            }
        });
        answer(recipient, msg, m -> {
            bytes.merge(
                    m.getClass().getSimpleName(),
                    (long) MessageCodec.encode(new MessageCodec.Frame(1, 1, 0, recipient, m)).length,
                    Long::sum);
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
    }

    private void answer(final NodeId recipient, final Message msg, final Consumer<Message> back) {
        final KeyedRecordStore k = stores.get(recipient);
        if (k == null) {
            return;
        }
        if (ahead.contains(recipient) && !(msg instanceof OutcomeRequest)) {
            back.accept(new EpochMismatchResponse(votingConfiguration.epoch() + 1, null));
        } else if (msg instanceof RecordReadRequest m) {
            k.onRead(m, back);
        } else if (msg instanceof RecordWriteRequest m) {
            k.onWrite(m, back);
        } else if (msg instanceof OutcomeRequest m) {
            k.onOutcomeRequest(m, back);
        } else if (msg instanceof RecordChecksumsRequest m) {
            k.onChecksumsRequest(m, back);
        } else if (msg instanceof RecordPageRequest m) {
            k.onPageRequest(m, back);
        }
    }
}
