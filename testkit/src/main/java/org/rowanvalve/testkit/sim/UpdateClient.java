package org.rowanvalve.testkit.sim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.control.config.Purge;
import org.rowanvalve.control.operator.ApiResponse;
import org.rowanvalve.testkit.log.RunLog;

/** Sends updates and purges to any shield, and repeats them at other ones until the result is clear. */
final class UpdateClient {
    private static final int ORDER_TRIES = 100;
    private static final int INVALID = 422;
    private static final int LONGEST_PAUSE = 10;
    private static final int HARD_TRIES = 20;
    private static final int PURGE_TRIES = 4;
    private static final long PAUSE_MS = 100;
    private static final long HARD_PAUSE_MS = 250;
    private static final long NOBODY_UP_MS = 500;
    private static final long SILENCE_MS = 1000;
    private final SimCluster cluster;
    private final List<OperatorUpdate> answered = new ArrayList<>();
    private double lostShare;
    private String lastAcknowledger = "";

    UpdateClient(final SimCluster cluster) {
        this.cluster = cluster;
    }

    /** Orders that were answered clearly, but for those that were invalid: they may be valid by now. */
    List<OperatorUpdate> answered() {
        return answered;
    }

    String lastAcknowledger() {
        return lastAcknowledger;
    }

    /** A share of the answers is lost on the way from now on. */
    void loseAnswers(final double share) {
        lostShare = share;
    }

    private VirtualTime world() {
        return cluster.world();
    }

    /** How sending an order ended: the machine whose clear answer came, and its status; nobody and 0 where none came. */
    interface Ending {
        void ended(SimNode node, int status);
    }

    /** One order on its way: until an answer is clear, or the tries are used up. */
    private final class Sending {
        private final OperatorUpdate order;
        private final long from = world().now();
        private final Set<String> asked = new HashSet<>();
        private final Consumer<SimNode> sent;
        private final Ending ending;
        private String last = "";
        private int tries;
        private boolean clear;

        Sending(final OperatorUpdate order, final Consumer<SimNode> sent, final Ending ending) {
            this.order = order;
            this.sent = sent;
            this.ending = ending;
            order.items().forEach(item -> cluster.log().add(item.row("sent", from, from, 0)));
            cluster.log()
                    .add(RunLog.row(
                            "log",
                            "order",
                            "t",
                            from,
                            "id",
                            order.id(),
                            "items",
                            order.items().stream().map(UpdateItem::mark).toList()));
        }

        /** At other nodes first, after a failure or a second of silence, with a pause that grows. */
        void next() {
            if (clear) {
                return;
            }
            if (tries++ >= ORDER_TRIES) {
                ending.ended(null, 0);
                return;
            }
            final SimNode node = notAsked();
            if (node == null) {
                world().in(NOBODY_UP_MS, this::next);
            } else {
                tryAt(node, () -> world().in(PAUSE_MS * Math.min(tries, LONGEST_PAUSE), this::next));
            }
        }

        /** One that was not asked yet; where all were, any but the last. */
        private SimNode notAsked() {
            final List<SimNode> up = cluster.nodes().values().stream()
                    .filter(node -> node.role() == Role.SHIELD && node.alive())
                    .toList();
            final List<SimNode> fresh = up.stream()
                    .filter(node -> !asked.contains(node.id().text()))
                    .toList();
            if (!fresh.isEmpty()) {
                return any(fresh);
            }
            final List<SimNode> others =
                    up.stream().filter(node -> !node.id().text().equals(last)).toList();
            return any(others.isEmpty() ? up : others);
        }

        private SimNode any(final List<SimNode> some) {
            return some.isEmpty() ? null : some.get(world().dice().nextInt(some.size()));
        }

        /** {@code again} runs once, where no clear answer came in a second. */
        void tryAt(final SimNode node, final Runnable again) {
            last = node.id().text();
            asked.add(last);
            final boolean[] over = {false};
            final Runnable once = () -> {
                if (!over[0] && !clear) {
                    over[0] = true;
                    again.run();
                }
            };
            final long life = node.life();
            final long t = world().now();
            sent.accept(node);
            world().in(1, () -> {
                if (node.alive() && node.life() == life) {
                    node.execute(() -> node.node().updateService().apply(order.text(), response -> {
                        final boolean lost = world().dice().nextDouble() < lostShare;
                        note("order", t, node, order.id(), response, lost);
                        if (!lost) {
                            answer(node, response, once);
                        }
                    }));
                }
            });
            world().in(SILENCE_MS, once);
        }

        private void answer(final SimNode node, final ApiResponse response, final Runnable again) {
            if (clear) {
                return;
            }
            if (response.status() / 100 == 5) {
                again.run();
                return;
            }
            clear = true;
            final long end = world().now();
            order.items().forEach(item -> cluster.log().add(item.row("put", from, end, response.status())));
            if (response.status() != INVALID) {
                answered.add(order);
            }
            if (response.status() == 200) {
                lastAcknowledger = node.id().text();
            }
            ending.ended(node, response.status());
        }

        /** Again and again at one machine, until it answers clearly; at any other where it does not for long. */
        void insist(final SimNode node) {
            if (clear) {
                return;
            }
            if (tries++ < HARD_TRIES && node.alive()) {
                tryAt(node, () -> world().in(HARD_PAUSE_MS, () -> insist(node)));
            } else {
                next();
            }
        }
    }

    private void note(
            final String kind,
            final long t,
            final SimNode node,
            final Long order,
            final ApiResponse response,
            final boolean lost) {
        cluster.log()
                .add(RunLog.row(
                        "log",
                        "try",
                        "kind",
                        kind,
                        "t",
                        t,
                        "end",
                        world().now(),
                        "node",
                        node.id().text(),
                        "order",
                        order,
                        "status",
                        response.status(),
                        "lost",
                        lost));
    }

    /** {@code sent} hears each machine that it is sent to. */
    void send(final OperatorUpdate order, final Consumer<SimNode> sent, final Ending ending) {
        new Sending(order, sent, ending).next();
    }

    /** To this machine first, then as any other. */
    void sendFirstTo(final OperatorUpdate order, final SimNode at) {
        final Sending sending = new Sending(order, node -> {}, (node, status) -> {});
        sending.tryAt(at, () -> world().in(PAUSE_MS, sending::next));
    }

    void sendUntilAnswered(final OperatorUpdate order, final SimNode at) {
        new Sending(order, node -> {}, (node, status) -> {}).insist(at);
    }

    /** Something that must not be taken, once. */
    void tryInvalid(final OperatorUpdate order, final SimNode node) {
        final long t = world().now();
        node.execute(() -> node.node()
                .updateService()
                .apply(order.text(), response -> note("invalid", t, node, null, response, false)));
    }

    void tryPurge(final Purge what, final SimNode node) {
        final long t = world().now();
        node.execute(() ->
                node.node().updateService().purge(what, response -> note("purge", t, node, null, response, false)));
    }

    void purge(final Purge what, final Map<String, Object> facts) {
        purge(what, facts, world().now(), PURGE_TRIES);
    }

    private void purge(final Purge what, final Map<String, Object> facts, final long from, final int left) {
        final SimNode node = cluster.controlNode();
        final boolean[] over = {false};
        final Runnable again = () -> {
            if (!over[0]) {
                over[0] = true;
                if (left > 0) {
                    world().in(PAUSE_MS, () -> purge(what, facts, from, left - 1));
                }
            }
        };
        world().in(SILENCE_MS, again);
        if (node == null) {
            return;
        }
        final long t = world().now();
        node.execute(() -> node.node().updateService().purge(what, response -> {
            note("purge", t, node, null, response, false);
            if (over[0] || response.status() != 200) {
                again.run();
                return;
            }
            over[0] = true;
            final String item = String.valueOf(response.body().get("item")).replace("purge/", "PURGE/");
            final Map<String, Object> row = RunLog.row(
                    "log",
                    "op",
                    "t",
                    from,
                    "end",
                    world().now(),
                    "what",
                    "purge",
                    "item",
                    item,
                    "status",
                    200,
                    "version",
                    response.body().get("version"));
            row.putAll(facts);
            cluster.log().add(row);
        }));
    }

    /** Something that must not be taken, to any node; where nobody is up, later. */
    void sendInvalid(final Supplier<OperatorUpdate> draft, final IntConsumer then) {
        final SimNode node = cluster.controlNode();
        if (node == null) {
            world().in(NOBODY_UP_MS, () -> sendInvalid(draft, then));
            return;
        }
        final OperatorUpdate order = draft.get();
        final long t = world().now();
        node.execute(() -> node.node().updateService().apply(order.text(), response -> {
            note("invalid", t, node, null, response, false);
            cluster.log()
                    .add(RunLog.row(
                            "log", "op", "t", t, "end", world().now(), "what", "invalid", "status", response.status()));
            then.accept(response.status());
        }));
    }
}
