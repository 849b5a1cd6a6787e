package org.rowanvalve.control.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.voting.VotingSet;

/**
 * Simulates one change of the voting set with the real acceptors, proposers and voting configurations. Time is virtual,
 * disks survive a crash, and the network injects one fault at the message with a given number. Meanwhile two proposers
 * append entries to one register. The invariants are checked after each event and at the end.
 */
final class VotingChangeModel {
    private static final ItemId REGISTER = new ItemId(ItemKind.ROUTE, "r");
    private static final long LATENCY_MS = 5;
    private static final long DELAYED_LATENCY_MS = 250;
    private static final long FOUNDING_MS = 1400;
    private static final long FAULT_PHASE_MS = 700;
    private static final long RECOVERY_PHASE_MS = 1600;
    private static final int WRITES_PER_PROPOSER = 4;
    private static final long WRITE_INTERVAL_MS = 160;

    /** A fault that affects a message, or the node that sends or receives this message. */
    enum Fault {
        NONE,
        LOST,
        DELAYED,
        DUPLICATED,
        CRASH,
        WIPE,
        SENDER_CRASH
    }

    /**
     * {@code before} and {@code after}: the voting sets. {@code remotePeers}: the only nodes that can exchange messages
     * with the remote proposer during the fault phase; if empty, every link works. {@code lastPeerIsolated}: whether
     * the last of them can reach no node but the remote proposer.
     */
    record Scenario(List<String> before, List<String> after, List<String> remotePeers, boolean lastPeerIsolated) {}

    private record ScheduledTask(long at, long number, Runnable task) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(final ScheduledTask o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(number, o.number);
        }
    }

    private final Scenario scenario;
    private final int faultyMessage;
    private final Fault fault;
    private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>();
    private final Map<String, ModelMachine> machines = new TreeMap<>();
    private final Map<Long, List<String>> votingSets = new TreeMap<>();
    private final Map<Long, String> acknowledged = new TreeMap<>();
    private final List<String> violations = new ArrayList<>();
    private long now = 1000;
    private long number;
    private int messages;
    private int writes;
    private boolean faultPhase;

    /** {@code fault} is injected at the message with the number {@code faultyMessage}. */
    VotingChangeModel(final Scenario scenario, final int faultyMessage, final Fault fault) {
        this.scenario = scenario;
        this.faultyMessage = faultyMessage;
        this.fault = fault;
        votingSets.put(0L, scenario.before());
        final Set<String> voters = new java.util.TreeSet<>(scenario.before());
        voters.addAll(scenario.after());
        voters.forEach(v -> machines.put(v, new ModelMachine(this, v, true)));
        List.of("near", "remote").forEach(w -> machines.put(w, new ModelMachine(this, w, false)));
    }

    /** Runs the simulation and returns the violated invariants. */
    List<String> run() {
        machines.values().forEach(m -> m.start(true));
        runFor(FOUNDING_MS);
        faultPhase = true;
        scheduleAfter(10, this::proposeChange);
        for (int i = 0; i < WRITES_PER_PROPOSER; i++) {
            scheduleAfter(WRITE_INTERVAL_MS * i, () -> write("near"));
            scheduleAfter(WRITE_INTERVAL_MS * i + WRITE_INTERVAL_MS / 2, () -> write("remote"));
        }
        runFor(FAULT_PHASE_MS);
        faultPhase = false;
        runFor(RECOVERY_PHASE_MS);
        checkFinalValue();
        return violations;
    }

    long now() {
        return now;
    }

    Scenario scenario() {
        return scenario;
    }

    ModelMachine machine(final NodeId id) {
        return machines.get(id.text());
    }

    List<NodeId> nodeIds() {
        return machines.keySet().stream().map(VotingChangeModel::id).toList();
    }

    int messages() {
        return messages;
    }

    int acknowledgedWrites() {
        return acknowledged.size();
    }

    long epoch() {
        return machines.get("near").votingConfiguration().epoch();
    }

    static NodeId id(final String name) {
        return NodeId.of(name);
    }

    static List<String> addresses(final List<String> names) {
        return names.stream().map(n -> n + "@10.0.0.1:1").toList();
    }

    void scheduleAfter(final long delayMs, final Runnable task) {
        queue.add(new ScheduledTask(now + delayMs, number++, task));
    }

    private void runFor(final long durationMs) {
        final long end = now + durationMs;
        while (!queue.isEmpty() && queue.peek().at() <= end) {
            now = queue.peek().at();
            queue.poll().task().run();
            checkOnlyOneMajorityVotes();
        }
        now = end;
    }

    /** Checks that at no moment the majorities of two voting sets can vote. */
    private void checkOnlyOneMajorityVotes() {
        int majorities = 0;
        for (final Map.Entry<Long, List<String>> set : votingSets.entrySet()) {
            int voting = 0;
            for (final String v : set.getValue()) {
                voting += machines.get(v).votesIn(set.getKey()) ? 1 : 0;
            }
            majorities += voting > set.getValue().size() / 2 ? 1 : 0;
        }
        if (majorities > 1) {
            addViolation("majorities of two voting sets can vote");
        }
    }

    private void addViolation(final String violation) {
        if (violations.size() < 3) {
            violations.add(violation + " (message " + faultyMessage + " " + fault + ")");
        }
    }

    private void proposeChange() {
        final ModelMachine near = machines.get("near");
        votingSets.put(1L, scenario.after());
        final String body = Json.write(new VotingSet(addresses(scenario.after()), addresses(scenario.before())));
        near.proposer()
                .propose(
                        ItemId.VOTERS,
                        "change",
                        900,
                        item -> item.version().number() == 0
                                ? Optional.of(item.successor(body, "change"))
                                : Optional.empty(),
                        r -> {});
    }

    /** Appends an entry to the current value. */
    private void write(final String name) {
        final String entry = "m" + ++writes;
        final ModelMachine machine = machines.get(name);
        machine.proposer()
                .propose(
                        REGISTER,
                        entry,
                        400,
                        item -> Optional.of(item.successor(item.body() + entry + " ", entry)),
                        r -> {
                            if (r.isAccepted()) {
                                recordAcknowledged(r.item());
                            }
                        });
    }

    /** Checks that an acknowledged version has only one value. */
    private void recordAcknowledged(final Item item) {
        final String other = acknowledged.put(item.version().number(), item.body());
        if (other != null && !other.equals(item.body())) {
            addViolation("version " + item.version().number() + " has the values " + other + " and " + item.body());
        }
    }

    private void checkFinalValue() {
        final Item[] finalItem = new Item[1];
        machines.get("near").proposer().read(REGISTER, 2000, r -> finalItem[0] = r.isAccepted() ? r.item() : null);
        runFor(2100);
        if (finalItem[0] == null) {
            addViolation("the register cannot be read at the end");
            return;
        }
        recordAcknowledged(finalItem[0]);
        acknowledged.forEach((version, body) -> {
            if (!finalItem[0].body().startsWith(body)) {
                addViolation(
                        "an acknowledged write is lost: version " + version + " " + body + "of " + finalItem[0].body());
            }
        });
    }

    /**
     * Whether the link between two nodes works. During the fault phase the scenario restricts the links of the remote
     * proposer and of its last peer.
     */
    private boolean isLinkOpen(final ModelMachine a, final ModelMachine b) {
        if (!faultPhase || scenario.remotePeers().isEmpty() || a == b) {
            return true;
        }
        final boolean remote =
                a.self().text().equals("remote") || b.self().text().equals("remote");
        final String other =
                a.self().text().equals("remote") ? b.self().text() : a.self().text();
        if (remote) {
            return scenario.remotePeers().contains(other);
        }
        final String lastPeer =
                scenario.remotePeers().get(scenario.remotePeers().size() - 1);
        return !scenario.lastPeerIsolated()
                || !a.self().text().equals(lastPeer) && !b.self().text().equals(lastPeer);
    }

    void deliver(final ModelMachine from, final ModelMachine to, final Runnable task) {
        final boolean hit = from != to && faultPhase && ++messages == faultyMessage;
        final Fault injected = hit ? fault : Fault.NONE;
        if (!isLinkOpen(from, to) || injected == Fault.LOST) {
            return;
        }
        if (injected == Fault.SENDER_CRASH && from.isVoter()) {
            from.crash(false);
        }
        final int sentTo = to.incarnation();
        final Runnable arrive = () -> {
            if (to.alive() && to.incarnation() == sentTo) {
                task.run();
            }
        };
        scheduleAfter(injected == Fault.DELAYED ? DELAYED_LATENCY_MS : LATENCY_MS, () -> {
            if ((injected == Fault.CRASH || injected == Fault.WIPE) && to.isVoter() && to.alive()) {
                to.crash(injected == Fault.WIPE);
            }
            arrive.run();
        });
        if (injected == Fault.DUPLICATED) {
            scheduleAfter(DELAYED_LATENCY_MS, arrive);
        }
    }
}
