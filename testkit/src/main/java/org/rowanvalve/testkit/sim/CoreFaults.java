package org.rowanvalve.testkit.sim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.testkit.scenario.Scenario;

/** Faults of voters, in deployments whose shields vote: partitions among them, replacements, losses at a response. */
final class CoreFaults {
    private static final long WAIT_MS = 100;
    private static final long LOOK_MS = 1;
    private static final long BUSY_AT_MOST_MS = 3000;
    private static final long LEAVE_AT_MOST_MS = 10_000;
    private static final long RESTART_MS = 700;
    private static final long EARLIEST_MS = 5;
    private static final int TIMED_SPAN_MS = 396;
    private static final int SEEDS = 3;
    /** So long the list of seeds lags behind. */
    private static final long SEED_LAG_MS = 3000;

    private static final int FEWEST_EDGES = 3;
    private final SimCluster cluster;

    CoreFaults(final SimCluster cluster) {
        this.cluster = cluster;
    }

    private VirtualTime world() {
        return cluster.world();
    }

    private Random random() {
        return cluster.world().dice();
    }

    private List<String> up(final Role role) {
        return cluster.nodes().values().stream()
                .filter(node -> node.role() == role && node.alive())
                .map(node -> node.id().text())
                .toList();
    }

    private List<String> shields() {
        return cluster.nodes().keySet().stream().filter(n -> n.startsWith("sh")).toList();
    }

    private void whenBearable(final List<String> more, final Runnable strike) {
        if (cluster.losses().bears(more)) {
            strike.run();
        } else {
            world().in(WAIT_MS, () -> whenBearable(more, strike));
        }
    }

    /** The group hears nothing of the other shields, or with {@code one-way} is not heard by them. */
    void coreCut(final List<String> group, final Scenario.Step step) {
        final List<String> others =
                shields().stream().filter(n -> !group.contains(n)).toList();
        group.forEach(n -> cluster.trouble("core-cut", n, step.ms()));
        group.forEach(n -> cluster.losses().lostFor(n, step.ms()));
        final boolean deaf = random().nextBoolean();
        if (!step.how("one-way") || deaf) {
            cluster.sever(others, group, step.ms());
        }
        if (!step.how("one-way") || !deaf) {
            cluster.sever(group, others, step.ms());
        }
        if (step.how("seeds")) {
            world().in(step.ms() / 4, () -> beginWith(group));
        }
        if (step.how("both")) {
            final List<String> order = new ArrayList<>(group);
            order.addAll(others);
            world().in(step.ms() / 4, () -> restartInTurn(order));
        }
    }

    /** New seeds that begin with the ones that are cut off; some other machines are restarted with them. */
    private void beginWith(final List<String> group) {
        final List<String> list = new ArrayList<>(group);
        shields().stream().filter(n -> !list.contains(n)).forEach(list::add);
        turnSeeds(list.subList(0, Math.min(SEEDS, list.size())));
        up(Role.EDGE).stream().filter(n -> random().nextInt(3) == 0).forEach(n -> cluster.kill(n, RESTART_MS));
    }

    private void restartInTurn(final List<String> order) {
        if (order.isEmpty()) {
            return;
        }
        final String first = order.get(0);
        if (cluster.nodes().containsKey(first) && cluster.node(first).alive()) {
            cluster.restart(first, RESTART_MS);
        }
        world().in(2 * RESTART_MS, () -> restartInTurn(order.subList(1, order.size())));
    }

    /** The settings of all machines name other seeds, and all processes are told. */
    void turnSeeds(final List<String> names) {
        cluster.trouble("seed-turnover", String.join(",", names), 0);
        cluster.seeds(names);
    }

    List<String> otherSeeds() {
        final List<String> all = new ArrayList<>(shields());
        Collections.shuffle(all, random());
        return all.subList(0, Math.min(SEEDS, all.size()));
    }

    /** Gone for good, and an empty one comes at another address; planned: that one first, then an orderly stop. */
    void replace(final String old, final Scenario.Step step, final Runnable done) {
        cluster.trouble("replace-core", old, step.ms());
        if (step.how("planned")) {
            cluster.add(old);
            world().in(step.ms(), () -> leave(old, done));
        } else {
            cluster.retire(old);
            nameOtherSeeds(old);
            world().in(step.ms(), () -> {
                cluster.add(old);
                done.run();
            });
        }
    }

    /** The settings that are written from then on name another seed, and all processes are told of it some time later. */
    private void nameOtherSeeds(final String gone) {
        world().in(SEED_LAG_MS, () -> {
            if (cluster.seeds().contains(gone)) {
                turnSeeds(cluster.presentSeeds().stream().map(NodeId::text).toList());
            }
        });
    }

    /** An orderly stop for good; the machine is switched off if it takes too long. */
    private void leave(final String name, final Runnable done) {
        final Runnable off = () -> {
            if (cluster.nodes().containsKey(name)) {
                cluster.retire(name);
                cluster.losses().back(name);
                nameOtherSeeds(name);
                done.run();
            }
        };
        cluster.stop(name, off);
        world().in(LEAVE_AT_MOST_MS, off);
    }

    /** Each in turn gets an orderly stop, and starts again or is gone for good. */
    void roll(final List<String> names, final Scenario.Step step, final Runnable done) {
        final List<String> left = names.stream()
                .filter(n -> cluster.nodes().containsKey(n) && cluster.node(n).alive())
                .toList();
        if (left.isEmpty()) {
            done.run();
            return;
        }
        final String first = left.get(0);
        whenBearable(List.of(first), () -> {
            if (step.how("busy")) {
                whenBusy(first, world().now() + BUSY_AT_MOST_MS, () -> stopOne(first, step));
            } else {
                stopOne(first, step);
            }
            world().in(step.ms(), () -> roll(left.subList(1, left.size()), step, done));
        });
    }

    private void stopOne(final String name, final Scenario.Step step) {
        if (!cluster.nodes().containsKey(name) || !cluster.node(name).alive()) {
            return;
        }
        if (step.how("remove") && maySpare(name)) {
            cluster.trouble("restart", name, 0);
            leave(name, () -> {});
        } else {
            cluster.restart(name, RESTART_MS);
        }
    }

    /** Whether enough of its kind are left to vote, or to take requests. */
    private boolean maySpare(final String name) {
        final long left = cluster.nodes().keySet().stream()
                .filter(n -> n.startsWith(name.substring(0, 2)))
                .count();
        return left > (name.startsWith("sh") ? 2 * cluster.place().losses() + 1 : FEWEST_EDGES);
    }

    /** While it answers a request, or at the latest by then. */
    private void whenBusy(final String name, final long latest, final Runnable then) {
        final SimNode node = cluster.node(name);
        if (!node.alive() || node.busy() || world().now() >= latest) {
            then.run();
        } else {
            world().in(LOOK_MS, () -> whenBusy(name, latest, then));
        }
    }

    /** Right after an order was acknowledged, soon after one was sent, or right after a keyed request was accepted. */
    void afterAck(final Scenario.Step step, final Runnable done) {
        final Loss loss = new Loss(step, done);
        if (step.how("taken")) {
            cluster.crowd().onceAccepted(loss::strike);
        } else if (step.how("timed")) {
            cluster.orderOperator().change(loss::strikeSoon, (node, status) -> loss.missed());
        } else {
            cluster.orderOperator().change(node -> {}, (node, status) -> {
                if (status == 200) {
                    loss.strike(node.id().text());
                } else {
                    loss.missed();
                }
            });
        }
    }

    /** Some machines lose power, their disk too, at a moment that one order or request gives. */
    private final class Loss {
        private final Scenario.Step step;
        private final Runnable done;
        private boolean decided;

        Loss(final Scenario.Step step, final Runnable done) {
            this.step = step;
            this.done = done;
        }

        void strikeSoon(final SimNode node) {
            if (!decided) {
                decided = true;
                world().in(
                                EARLIEST_MS + random().nextInt(TIMED_SPAN_MS),
                                () -> hit(node.id().text()));
            }
        }

        void strike(final String first) {
            if (!decided) {
                decided = true;
                hit(first);
            }
        }

        /** That order or request gave no moment; the next one may. */
        void missed() {
            if (!decided) {
                decided = true;
                world().in(WAIT_MS, () -> afterAck(step, done));
            }
        }

        /** {@code first}: the machine that answered; others by lot, as many as the step says. */
        private void hit(final String first) {
            final List<String> victims = victims(first);
            if (cluster.losses().bears(victims)) {
                victims.forEach(this::lose);
                done.run();
            } else {
                world().in(WAIT_MS, () -> afterAck(step, done));
            }
        }

        private List<String> victims(final String first) {
            final List<String> all = new ArrayList<>(shields());
            Collections.shuffle(all, random());
            if (step.who().contains("acker") && all.remove(first)) {
                all.add(0, first);
            }
            return all.subList(0, Math.max(1, Math.min((int) step.size(), all.size())));
        }

        private void lose(final String name) {
            if (step.trouble().equals("after-ack-wipe")) {
                cluster.loseDisk(name, step.ms());
            } else if (step.how("kill")) {
                cluster.kill(name, step.ms());
            } else {
                cluster.power(name, step.ms());
            }
        }
    }

    /** The time of day of a machine jumps, and back after a while. */
    void stepClock(final String name, final double by, final long ms) {
        cluster.trouble("clock-step", name, ms);
        final SimNode node = cluster.node(name);
        node.stepClock((long) by);
        world().in(ms, () -> node.stepClock(-(long) by));
    }

    void slowDisk(final String name, final double times, final long ms) {
        cluster.trouble("disk-slow", name, ms);
        final SimNode node = cluster.node(name);
        node.disk().slow(times);
        world().in(ms, () -> node.disk().slow(1));
    }

    /** A share of the named machines' circuits is reset, to each other and to origins. */
    void resetCircuits(final List<String> names, final double share) {
        names.forEach(n -> {
            cluster.trouble("reset-conns", n, 0);
            cluster.nodes().keySet().stream()
                    .filter(other -> !other.equals(n) && random().nextDouble() < share)
                    .forEach(other -> cluster.net().resetCircuit(n, other));
            if (cluster.node(n).alive()) {
                cluster.node(n).resetOriginCircuits(share);
            }
        });
    }

    /** During a cut of the named machines, and as they return, changes are sent to them. */
    void callDuring(final List<String> names, final long ms, final Set<String> how) {
        for (final long at : new long[] {1, 300, 900, ms / 2, ms - 200}) {
            if (at > 0 && at < ms) {
                world().in(at, () -> names.forEach(n -> call(n, how)));
            }
        }
    }

    void callAtReturn(final List<String> names, final long ms, final Set<String> how) {
        for (final long at : new long[] {1, 50, 250, 800}) {
            world().in(ms + at, () -> names.forEach(n -> call(n, how)));
        }
    }

    private void call(final String name, final Set<String> how) {
        final SimNode node = cluster.nodes().get(name);
        if (node != null && node.alive()) {
            cluster.orderOperator().callAt(node, how);
        }
    }
}
