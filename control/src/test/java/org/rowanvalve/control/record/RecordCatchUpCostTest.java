package org.rowanvalve.control.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
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
import org.rowanvalve.common.runtime.StableStorage;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.VirtualTimeLoop;
import org.rowanvalve.control.consensus.MonitoredStorage;
import org.rowanvalve.control.voting.Quorum;
import org.rowanvalve.control.voting.VotingConfiguration;

/** What it costs a keeper that lost its memory to catch up: linear in the records that stand, flat in those that stood. */
class RecordCatchUpCostTest {
    private static final List<NodeId> ALL = List.of(NodeId.of("a"), NodeId.of("b"), NodeId.of("c"));
    private static final int BODY = 700;
    private static final long ROUND_TRIP = 70;
    private static final long BYTES_PER_MS = 900;

    record Cost(int records, int past, long ms, long bytes, long messages) {
        String row() {
            return "| " + records + " | " + past + " | " + ms + " | " + bytes + " | " + messages + " |";
        }
    }

    /** {@code past}: records that stood before and stand no more. */
    private static Cost catchUp(final int records, final int past) throws Exception {
        final VirtualTimeLoop loop = new VirtualTimeLoop();
        final Map<NodeId, KeyedRecordStore> keepers = new HashMap<>();
        final long[] sum = new long[2];
        final Transport transport = (recipient, msg, wait, then) -> {
            sum[0] += MessageCodec.encode(new MessageCodec.Frame(1, 1, 0, recipient, msg)).length;
            sum[1]++;
            final Consumer<Message> back = m -> {
                final long size = MessageCodec.encode(new MessageCodec.Frame(1, 1, 0, recipient, m)).length;
                sum[0] += size;
                sum[1]++;
                final long ms = ROUND_TRIP + size / BYTES_PER_MS;
                loop.schedule(
                        Math.min(ms, wait),
                        () -> then.accept(ms < wait ? Reply.of(m) : Reply.failed(Reply.Failure.NO_RESPONSE)));
            };
            if (msg instanceof RecordChecksumsRequest m) {
                keepers.get(recipient).onChecksumsRequest(m, back);
            } else if (msg instanceof RecordPageRequest m) {
                keepers.get(recipient).onPageRequest(m, back);
            }
        };
        for (final NodeId id : ALL) {
            keepers.put(id, keeper(id, loop, transport));
            keepers.get(id).start();
        }
        for (final NodeId id : ALL.subList(1, 3)) {
            fill(keepers.get(id), "past-", past);
        }
        loop.run(120_000);
        for (final NodeId id : ALL.subList(1, 3)) {
            assertEquals(0, keepers.get(id).size(), "what stood is gone");
            fill(keepers.get(id), "now-", records);
        }
        final KeyedRecordStore lost = keepers.get(ALL.get(0));
        lost.markIncomplete();
        final long from = loop.now();
        while (lost.isIncomplete()) {
            loop.run(5);
        }
        assertEquals(records, lost.size());
        assertTrue(loop.now() - from < 60_000, "it ended by itself");
        return new Cost(records, past, loop.now() - from, sum[0], sum[1]);
    }

    private static KeyedRecordStore keeper(final NodeId id, final VirtualTimeLoop loop, final Transport transport) {
        final StableStorage storage = new StableStorage() {
            private final Map<String, byte[]> rows = new TreeMap<>();

            @Override
            public Map<String, byte[]> load() {
                return rows;
            }

            @Override
            public void save(final Map<String, byte[]> some, final Consumer<Boolean> done) {
                some.forEach((k, v) -> rows.compute(k, (x, old) -> v));
                done.accept(true);
            }
        };
        return new KeyedRecordStore(
                id,
                "b",
                VotingConfiguration.of(new Quorum(ALL, Set.of())),
                transport,
                loop,
                loop::now,
                new MonitoredStorage(storage, loop),
                new EventJournal(loop, 100),
                new RecordRetention(60_000, () -> 0));
    }

    private static void fill(final KeyedRecordStore k, final String name, final int records) {
        k.onRead(new RecordReadRequest(0, 3, new FencingToken(1, 1), "w", true, null, 0), m -> {
            final long era = ((RecordReadResponse) m).era();
            for (int i = 0; i < records; i++) {
                final KeyedOutcome outcome = new KeyedOutcome(201, Map.of(), new byte[BODY], true);
                final KeyedRecord note = new KeyedRecord(
                        "checkout|booking|" + name + i, 3, new FencingToken(1, 1), "d".repeat(64), i, false, outcome);
                k.onWrite(new RecordWriteRequest(0, note, era), x -> {});
            }
        });
    }

    @Test
    void catchingUpIsLinearInWhatStandsAndFlatInWhatStood() throws Exception {
        final Cost small = catchUp(500, 0);
        final Cost middle = catchUp(3500, 0);
        final Cost past = catchUp(3500, 14_000);
        final Cost large = catchUp(14_000, 0);
        System.out.println("| records | stood before | ms | bytes | messages |");
        List.of(small, middle, past, large).forEach(c -> System.out.println(c.row()));
        final double bytes = (double) (large.bytes() - middle.bytes()) / (middle.bytes() - small.bytes());
        assertEquals(10_500.0 / 3000, bytes, 0.2);
        final double time = (double) (large.ms() - middle.ms()) / (middle.ms() - small.ms());
        assertEquals(10_500.0 / 3000, time, 0.5);
        assertEquals(middle.bytes(), past.bytes(), middle.bytes() * 0.01);
        assertEquals(middle.ms(), past.ms(), 50);
        assertFalse(middle.bytes() > 3500L * (BODY + 350) + 100_000, "bytes a record");
    }
}
