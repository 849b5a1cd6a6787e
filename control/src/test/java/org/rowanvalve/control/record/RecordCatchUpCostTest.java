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

/**
 * The cost of copying all records to a replica that lost its own: linear in the number of present records, and
 * independent of the number of expired ones.
 */
class RecordCatchUpCostTest {
    private static final List<NodeId> VOTERS = List.of(NodeId.of("a"), NodeId.of("b"), NodeId.of("c"));
    private static final int BODY_BYTES = 700;
    private static final long ROUND_TRIP_MS = 70;
    private static final long BYTES_PER_MS = 900;

    record Cost(int records, int expired, long ms, long bytes, long messages) {
        String row() {
            return "| " + records + " | " + expired + " | " + ms + " | " + bytes + " | " + messages + " |";
        }
    }

    /** Measures one copy. {@code expired} is the number of records that existed earlier and have expired. */
    private static Cost catchUp(final int records, final int expired) throws Exception {
        final VirtualTimeLoop loop = new VirtualTimeLoop();
        final Map<NodeId, KeyedRecordStore> replicas = new HashMap<>();
        final long[] sum = new long[2];
        final Transport transport = (recipient, request, timeoutMs, then) -> {
            sum[0] += MessageCodec.encode(new MessageCodec.Frame(1, 1, 0, recipient, request)).length;
            sum[1]++;
            final Consumer<Message> callback = m -> {
                final long size = MessageCodec.encode(new MessageCodec.Frame(1, 1, 0, recipient, m)).length;
                sum[0] += size;
                sum[1]++;
                final long ms = ROUND_TRIP_MS + size / BYTES_PER_MS;
                loop.schedule(
                        Math.min(ms, timeoutMs),
                        () -> then.accept(ms < timeoutMs ? Reply.of(m) : Reply.failed(Reply.Failure.NO_RESPONSE)));
            };
            if (request instanceof RecordChecksumsRequest m) {
                replicas.get(recipient).onChecksumsRequest(m, callback);
            } else if (request instanceof RecordPageRequest m) {
                replicas.get(recipient).onPageRequest(m, callback);
            }
        };
        for (final NodeId id : VOTERS) {
            replicas.put(id, replica(id, loop, transport));
            replicas.get(id).start();
        }
        for (final NodeId id : VOTERS.subList(1, 3)) {
            fill(replicas.get(id), "past-", expired);
        }
        loop.run(120_000);
        for (final NodeId id : VOTERS.subList(1, 3)) {
            assertEquals(0, replicas.get(id).size(), "the earlier records have expired");
            fill(replicas.get(id), "now-", records);
        }
        final KeyedRecordStore lost = replicas.get(VOTERS.get(0));
        lost.markIncomplete();
        final long startedAt = loop.now();
        while (lost.isIncomplete()) {
            loop.run(5);
        }
        assertEquals(records, lost.size());
        assertTrue(loop.now() - startedAt < 60_000, "the copy ends before the incomplete mark expires");
        return new Cost(records, expired, loop.now() - startedAt, sum[0], sum[1]);
    }

    private static KeyedRecordStore replica(final NodeId id, final VirtualTimeLoop loop, final Transport transport) {
        final StableStorage storage = new StableStorage() {
            private final Map<String, byte[]> rows = new TreeMap<>();

            @Override
            public Map<String, byte[]> load() {
                return rows;
            }

            @Override
            public void save(final Map<String, byte[]> changes, final Consumer<Boolean> done) {
                changes.forEach((key, value) -> rows.compute(key, (k, old) -> value));
                done.accept(true);
            }
        };
        return new KeyedRecordStore(
                id,
                "b",
                VotingConfiguration.of(new Quorum(VOTERS, Set.of())),
                transport,
                loop,
                loop::now,
                new MonitoredStorage(storage, loop),
                new EventJournal(loop, 100),
                new RecordRetention(60_000, () -> 0));
    }

    private static void fill(final KeyedRecordStore store, final String keyPrefix, final int records) {
        store.onRead(new RecordReadRequest(0, 3, new FencingToken(1, 1), "w", true, null, 0), m -> {
            final long era = ((RecordReadResponse) m).era();
            for (int i = 0; i < records; i++) {
                final KeyedOutcome outcome = new KeyedOutcome(201, Map.of(), new byte[BODY_BYTES], true);
                final KeyedRecord record = new KeyedRecord(
                        "checkout|booking|" + keyPrefix + i,
                        3,
                        new FencingToken(1, 1),
                        "d".repeat(64),
                        i,
                        false,
                        outcome);
                store.onWrite(new RecordWriteRequest(0, record, era), x -> {});
            }
        });
    }

    @Test
    void copyCostIsLinearInPresentRecordsAndIndependentOfExpiredOnes() throws Exception {
        final Cost small = catchUp(500, 0);
        final Cost middle = catchUp(3500, 0);
        final Cost expired = catchUp(3500, 14_000);
        final Cost large = catchUp(14_000, 0);
        System.out.println("| records | expired before | ms | bytes | messages |");
        List.of(small, middle, expired, large).forEach(c -> System.out.println(c.row()));
        final double bytes = (double) (large.bytes() - middle.bytes()) / (middle.bytes() - small.bytes());
        assertEquals(10_500.0 / 3000, bytes, 0.2);
        final double time = (double) (large.ms() - middle.ms()) / (middle.ms() - small.ms());
        assertEquals(10_500.0 / 3000, time, 0.5);
        assertEquals(middle.bytes(), expired.bytes(), middle.bytes() * 0.01);
        assertEquals(middle.ms(), expired.ms(), 50);
        assertFalse(middle.bytes() > 3500L * (BODY_BYTES + 350) + 100_000, "bytes per record");
    }
}
