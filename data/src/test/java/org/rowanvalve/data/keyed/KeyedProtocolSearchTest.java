package org.rowanvalve.data.keyed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.control.lease.LeaseHolder;
import org.rowanvalve.control.record.KeyedRecordStore;
import org.rowanvalve.data.cancel.Cancellation;
import org.rowanvalve.data.origin.OriginDispatcher;
import org.rowanvalve.data.origin.OriginTransport;

/**
 * Searches runs of the keyed protocol, drawn from seeds, for a key that is executed twice and for an attempt that is executed
 * although it was refused. Real holders and replicas; messages are late, lost or reordered, holders change or restart, a
 * replica restarts or loses its disk, origins refuse, execute late or lose their response.
 */
class KeyedProtocolSearchTest {
    private static final int RUNS = 1500;
    private static final int KEYS = 2;
    private static final int MAX_TRIES = 6;
    private static final long CLIENT_TIMEOUT_MS = 1500;
    private static final long RUN_MS = 25_000;

    private static final class Run extends KeyedHolderFixture {
        private final Random random;
        private final Map<NodeId, Map<String, byte[]>> disks = new HashMap<>();
        private final Map<String, List<String>> executionsByKey = new HashMap<>();
        private final Set<String> executed = new HashSet<>();
        private final List<String> refused = new ArrayList<>();
        private final List<KeyedRequests> holders = new ArrayList<>();
        private int doneCount;
        private int lastToken = 1;

        Run(final long seed) {
            random = new Random(seed);
            for (final NodeId replica : RecordReplicasFixture.ALL) {
                disks.put(replica, new HashMap<>());
                replicas.startReplica(replica, disks.get(replica));
            }
            holders.add(newKeyedRequests("p0"));
            answerForAttempts(0);
            replicas.requestDelayMs = (replica, message) -> messageDelayMs(message);
            replicas.responseDelayMs = (replica, message) -> messageDelayMs(message);
        }

        private long messageDelayMs(final Message message) {
            final int roll = random.nextInt(100);
            if (roll < 5) {
                return -1;
            }
            return roll < 15 ? 200 + random.nextInt(3000) : 1 + random.nextInt(20);
        }

        private void later(final int maxMs, final Runnable action) {
            replicas.loop.schedule(1 + random.nextInt(maxMs), action);
        }

        void play() {
            for (int key = 0; key < KEYS; key++) {
                final String name = "key-" + key;
                later(3000, () -> attempt(name, 1));
            }
            for (int change = 1 + random.nextInt(2); change > 0; change--) {
                final int number = change;
                later(8000, () -> changeHolder(number));
            }
            later(8000, () -> loseOrRestart(RecordReplicasFixture.ALL.get(random.nextInt(3))));
            replicas.loop.run(RUN_MS);
        }

        /** The shard moves to another node, or its holder restarts under the same token. */
        private void changeHolder(final int number) {
            final String process = "p" + number;
            if (random.nextBoolean()) {
                // Starting a holder runs the loop, in which the other change may come: the token is drawn before.
                final FencingToken token = new FencingToken(1, ++lastToken);
                final LeaseHolder lease = startHolder(token);
                holders.add(newKeyedRequests(process, lease));
            } else {
                final LeaseHolder lease = leasesOfLastHolder();
                holders.set(holders.size() - 1, newKeyedRequests(process, lease));
            }
            answerForAttempts(holders.size() - 1);
        }

        /** The holder answers the others' questions for its attempts; a restarted one in place of its earlier process. */
        private void answerForAttempts(final int holder) {
            replicas.shields.put(NodeId.of("holder" + holder), holders.get(holder));
            otherShields = List.copyOf(replicas.shields.keySet());
        }

        private LeaseHolder leasesOfLastHolder() {
            return holders.size() == 1 ? leases : startHolder(new FencingToken(1, lastToken));
        }

        private void loseOrRestart(final NodeId replica) {
            final boolean lost = random.nextBoolean();
            if (lost) {
                disks.get(replica).clear();
            }
            final KeyedRecordStore store = replicas.startReplica(replica, disks.get(replica));
            if (lost) {
                disks.get(replica).putAll(store.markIncomplete());
            }
        }

        /** Submits one attempt of a client, which tries again after a refusal or a time-out, and once after a success. */
        private void attempt(final String key, final int number) {
            if (number > MAX_TRIES) {
                return;
            }
            final String id = key + "-" + number;
            final KeyedRequests holder =
                    holders.get(random.nextInt(4) == 0 ? random.nextInt(holders.size()) : holders.size() - 1);
            final boolean[] ended = {false};
            final Runnable next = () -> {
                if (!ended[0]) {
                    ended[0] = true;
                    later(500, () -> attempt(key, number + 1));
                }
            };
            replicas.loop.schedule(CLIENT_TIMEOUT_MS, next);
            holder.handle(
                    new KeyedRequest(SHARD, key, "d".repeat(64), id),
                    700,
                    Cancellation.NEVER,
                    callback -> send(key, id, callback),
                    response -> {
                        if (response.fate() == RequestOutcome.REFUSED) {
                            refused.add(id);
                        }
                        doneCount += response.fate() == RequestOutcome.DONE ? 1 : 0;
                        next.run();
                    });
        }

        /** An origin executes the attempt at once, late or not at all, and responds or not. */
        private void send(final String key, final String id, final Consumer<OriginDispatcher.Completion> callback) {
            switch (random.nextInt(5)) {
                case 0 -> end(callback, OriginTransport.ExchangeResult.NOT_EXECUTED, false);
                case 1 -> end(callback, OriginTransport.ExchangeResult.NOT_SENT, false);
                case 2 -> {
                    later(3000, () -> execute(key, id));
                    end(callback, OriginTransport.ExchangeResult.LOST, true);
                }
                default -> {
                    execute(key, id);
                    end(callback, OriginTransport.ExchangeResult.COMPLETE, true);
                }
            }
        }

        private void execute(final String key, final String id) {
            executed.add(id);
            executionsByKey.computeIfAbsent(key, k -> new ArrayList<>()).add(id);
        }

        private void end(
                final Consumer<OriginDispatcher.Completion> callback,
                final OriginTransport.ExchangeResult result,
                final boolean mayHaveRun) {
            final OriginTransport.OriginResponse response =
                    new OriginTransport.OriginResponse(result, 201, Map.of(), new byte[] {7}, "");
            later(600, () -> callback.accept(new OriginDispatcher.Completion(response, mayHaveRun, 0, 0)));
        }

        String violations() {
            final List<String> found = new ArrayList<>();
            executionsByKey.forEach((key, ids) -> {
                if (ids.size() > 1) {
                    found.add("executed " + ids.size() + " times: " + ids);
                }
            });
            refused.stream().filter(executed::contains).forEach(id -> found.add("executed though refused: " + id));
            return String.join("; ", found);
        }
    }

    @Test
    void noKeyIsExecutedTwiceAndNoRefusedAttemptIsExecuted() {
        final Map<Long, String> violations = new HashMap<>();
        int done = 0;
        int refused = 0;
        for (long seed = 0; seed < RUNS; seed++) {
            final Run run = new Run(seed);
            run.play();
            if (!run.violations().isEmpty()) {
                violations.put(seed, run.violations());
            }
            done += run.doneCount;
            refused += run.refused.size();
        }
        assertEquals(Map.of(), violations);
        assertTrue(done > RUNS && refused > RUNS, done + " responses, " + refused + " refusals");
    }
}
