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
 * One run of a change of voters over the real voter, writer and electorate: virtual time, disks that outlive a crash, a
 * network on which the message of a stated number, and only that one, meets a fault. Two writers add their marks to one
 * register all the while. What must hold is checked after each event and at the end.
 */
final class VotingChangeModel {
    private static final ItemId REGISTER = new ItemId(ItemKind.ROUTE, "r");
    private static final long HOP = 5;
    private static final long LATE = 250;
    private static final long FOUNDING = 1400;
    private static final long TROUBLE = 700;
    private static final long CALM = 1600;
    private static final int WRITES = 4;
    private static final long APART = 160;

    /** What may happen to a message, or to the node that gets it. */
    enum Fault {
        NONE,
        LOST,
        LATE,
        TWICE,
        CRASH,
        WIPE,
        SENDER_CRASH
    }

    /** {@code heard}: which of the voters the remote writer, and nobody else beside it, exchanges messages with; empty: all. */
    record Scene(List<String> before, List<String> after, List<String> heard, boolean silent) {}

    private record Due(long at, long number, Runnable job) implements Comparable<Due> {
        @Override
        public int compareTo(final Due o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(number, o.number);
        }
    }

    private final Scene scene;
    private final int faulty;
    private final Fault fault;
    private final PriorityQueue<Due> queue = new PriorityQueue<>();
    private final Map<String, ModelMachine> machines = new TreeMap<>();
    private final Map<Long, List<String>> sets = new TreeMap<>();
    private final Map<Long, String> accepted = new TreeMap<>();
    private final List<String> breaches = new ArrayList<>();
    private long now = 1000;
    private long number;
    private int messages;
    private int marks;
    private boolean troubled;

    /** The message number {@code faulty} meets {@code fault}. */
    VotingChangeModel(final Scene scene, final int faulty, final Fault fault) {
        this.scene = scene;
        this.faulty = faulty;
        this.fault = fault;
        sets.put(0L, scene.before());
        final Set<String> voters = new java.util.TreeSet<>(scene.before());
        voters.addAll(scene.after());
        voters.forEach(v -> machines.put(v, new ModelMachine(this, v, true)));
        List.of("near", "remote").forEach(w -> machines.put(w, new ModelMachine(this, w, false)));
    }

    /** Runs it all; what was broken. */
    List<String> run() {
        machines.values().forEach(m -> m.start(true));
        runFor(FOUNDING);
        troubled = true;
        at(10, this::change);
        for (int i = 0; i < WRITES; i++) {
            at(APART * i, () -> write("near"));
            at(APART * i + APART / 2, () -> write("remote"));
        }
        runFor(TROUBLE);
        troubled = false;
        runFor(CALM);
        last();
        return breaches;
    }

    long now() {
        return now;
    }

    Scene scene() {
        return scene;
    }

    ModelMachine machine(final NodeId id) {
        return machines.get(id.text());
    }

    List<NodeId> all() {
        return machines.keySet().stream().map(VotingChangeModel::id).toList();
    }

    int messages() {
        return messages;
    }

    int marks() {
        return accepted.size();
    }

    long epoch() {
        return machines.get("near").electorate().epoch();
    }

    static NodeId id(final String name) {
        return NodeId.of(name);
    }

    static List<String> addresses(final List<String> names) {
        return names.stream().map(n -> n + "@10.0.0.1:1").toList();
    }

    void at(final long after, final Runnable job) {
        queue.add(new Due(now + after, number++, job));
    }

    private void runFor(final long span) {
        final long end = now + span;
        while (!queue.isEmpty() && queue.peek().at() <= end) {
            now = queue.peek().at();
            queue.poll().job().run();
            oneWorkingMajority();
        }
        now = end;
    }

    /** At no moment could majorities of two sets answer. */
    private void oneWorkingMajority() {
        int working = 0;
        for (final Map.Entry<Long, List<String>> set : sets.entrySet()) {
            int voting = 0;
            for (final String v : set.getValue()) {
                voting += machines.get(v).votesIn(set.getKey()) ? 1 : 0;
            }
            working += voting > set.getValue().size() / 2 ? 1 : 0;
        }
        if (working > 1) {
            breach("two sets hold a working majority");
        }
    }

    private void breach(final String what) {
        if (breaches.size() < 3) {
            breaches.add(what + " (message " + faulty + " " + fault + ")");
        }
    }

    private void change() {
        final ModelMachine near = machines.get("near");
        sets.put(1L, scene.after());
        final String body = Json.write(new VotingSet(addresses(scene.after()), addresses(scene.before())));
        near.writer()
                .propose(
                        ItemId.VOTERS,
                        "change",
                        900,
                        item -> item.version().number() == 0
                                ? Optional.of(item.successor(body, "change"))
                                : Optional.empty(),
                        r -> {});
    }

    /** Adds a mark to what stands. */
    private void write(final String at) {
        final String mark = "m" + ++marks;
        final ModelMachine machine = machines.get(at);
        machine.writer()
                .propose(
                        REGISTER, mark, 400, item -> Optional.of(item.successor(item.body() + mark + " ", mark)), r -> {
                            if (r.isAccepted()) {
                                seen(r.item());
                            }
                        });
    }

    /** An acknowledged version has one value. */
    private void seen(final Item item) {
        final String other = accepted.put(item.version().number(), item.body());
        if (other != null && !other.equals(item.body())) {
            breach("version " + item.version().number() + " is " + other + " and " + item.body());
        }
    }

    private void last() {
        final Item[] end = new Item[1];
        machines.get("near").writer().read(REGISTER, 2000, r -> end[0] = r.isAccepted() ? r.item() : null);
        runFor(2100);
        if (end[0] == null) {
            breach("nothing can be read in the end");
            return;
        }
        seen(end[0]);
        accepted.forEach((version, body) -> {
            if (!end[0].body().startsWith(body)) {
                breach("acknowledged and lost: version " + version + " " + body + "of " + end[0].body());
            }
        });
    }

    /** The remote writer's links are as the scene says while there is trouble. */
    private boolean open(final ModelMachine a, final ModelMachine b) {
        if (!troubled || scene.heard().isEmpty() || a == b) {
            return true;
        }
        final boolean remote =
                a.self().text().equals("remote") || b.self().text().equals("remote");
        final String other =
                a.self().text().equals("remote") ? b.self().text() : a.self().text();
        if (remote) {
            return scene.heard().contains(other);
        }
        final String last = scene.heard().get(scene.heard().size() - 1);
        return !scene.silent()
                || !a.self().text().equals(last) && !b.self().text().equals(last);
    }

    void carry(final ModelMachine from, final ModelMachine to, final Runnable job) {
        final boolean hit = from != to && troubled && ++messages == faulty;
        final Fault now = hit ? fault : Fault.NONE;
        if (!open(from, to) || now == Fault.LOST) {
            return;
        }
        if (now == Fault.SENDER_CRASH && from.votes()) {
            from.crash(false);
        }
        final int life = to.life();
        final Runnable arrive = () -> {
            if (to.alive() && to.life() == life) {
                job.run();
            }
        };
        at(now == Fault.LATE ? LATE : HOP, () -> {
            if ((now == Fault.CRASH || now == Fault.WIPE) && to.votes() && to.alive()) {
                to.crash(now == Fault.WIPE);
            }
            arrive.run();
        });
        if (now == Fault.TWICE) {
            at(LATE, arrive);
        }
    }
}
