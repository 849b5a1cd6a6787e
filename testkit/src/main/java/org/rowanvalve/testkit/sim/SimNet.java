package org.rowanvalve.testkit.sim;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Reply;
import org.rowanvalve.common.Wire;
import org.rowanvalve.common.WireTrouble;

/** Links with delay, jitter, stalls for lost packets, and cuts in either direction. Every message goes through the wire format. */
public final class SimNet {
    private final World world;
    private final BiFunction<String, String, Long> base;
    private final Map<NodeId, SimNode> nodes = new TreeMap<>();
    private final Map<String, Integer> cuts = new HashMap<>();
    private final Map<String, Long> last = new HashMap<>();
    private final Map<String, Long> kinds = new TreeMap<>();
    private final Map<NodeId, Set<Runnable>> begun = new HashMap<>();
    private final Map<String, Set<Runnable>> underWay = new HashMap<>();
    private double loss;
    private long slow;
    private long sent;
    private long bytes;
    private BiFunction<NodeId, byte[], byte[]> word = (from, data) -> data;
    private java.util.function.BiConsumer<NodeId, Msg> tap = (to, msg) -> {};

    public SimNet(final World world, final BiFunction<String, String, Long> base) {
        this.world = world;
        this.base = base;
    }

    void join(final SimNode n) {
        nodes.put(n.id(), n);
    }

    public void loss(final double p) {
        loss = p;
    }

    public void slow(final long ms) {
        slow = ms;
    }

    /** One direction of a link; what is cut twice is open once both cuts are healed. */
    public void cut(final String from, final String to) {
        cuts.merge(from + ">" + to, 1, Integer::sum);
    }

    public void heal(final String from, final String to) {
        cuts.computeIfPresent(from + ">" + to, (link, times) -> times == 1 ? null : times - 1);
    }

    public boolean open(final String from, final String to) {
        return !cuts.containsKey(from + ">" + to);
    }

    /** A process ended while its machine stayed up: whoever waits for an answer of its hears so at once. */
    public void reset(final NodeId dead) {
        final Set<Runnable> all = begun.remove(dead);
        if (all != null) {
            all.forEach(Runnable::run);
        }
    }

    /** A circuit is reset: what is under way on it, in either direction, is lost, and the one who asked hears so. */
    public void resetCircuit(final String a, final String b) {
        final Set<Runnable> both = new LinkedHashSet<>();
        for (final String link : List.of(a + ">" + b, b + ">" + a)) {
            both.addAll(underWay.getOrDefault(link, Set.of()));
        }
        both.forEach(Runnable::run);
    }

    /** What a node says, as another version of it would. */
    public void word(final BiFunction<NodeId, byte[], byte[]> say) {
        word = say;
    }

    /** Sees every question that arrives. */
    public void tap(final java.util.function.BiConsumer<NodeId, Msg> see) {
        tap = see;
    }

    private void weigh(final Msg msg, final int size) {
        bytes += size;
        kinds.merge(msg.getClass().getSimpleName(), (long) size, Long::sum);
    }

    /** Bytes by kind of message. */
    public Map<String, Long> kinds() {
        return kinds;
    }

    public long sent() {
        return sent;
    }

    public long bytes() {
        return bytes;
    }

    public long delay(final String from, final String to) {
        long d = base.apply(from, to)
                + world.dice().nextInt(2)
                + (slow == 0 ? 0 : world.dice().nextInt((int) slow));
        if (loss > 0 && world.dice().nextDouble() < loss) {
            d += 200 + world.dice().nextInt(200);
        }
        return d;
    }

    /** Delivers in order per direction, if the link is open both when sent and when it arrives. */
    private void carry(final String from, final String to, final Runnable job) {
        if (!open(from, to)) {
            return;
        }
        final String link = from + ">" + to;
        final long due = Math.max(world.now() + delay(from, to), last.getOrDefault(link, 0L));
        last.put(link, due);
        world.at(due, () -> {
            if (open(from, to)) {
                job.run();
            }
        });
    }

    Net of(final SimNode self) {
        return (to, msg, wait, then) -> ask(self, to, msg, wait, then);
    }

    private void ask(final SimNode self, final NodeId to, final Msg msg, final long wait, final Consumer<Reply> then) {
        final Question question = new Question(self, to, then);
        self.after(wait, () -> question.answered(Reply.lost(Reply.Trouble.NO_ANSWER)));
        if (to.equals(self.id())) {
            self.post(() -> self.node().take(self.id(), msg, m -> question.hear(Reply.of(m))));
            return;
        }
        final byte[] data =
                word.apply(self.id(), Wire.pack(new Wire.Envelope(Wire.VERSION, ++sent, 0, self.id(), msg)));
        weigh(msg, data.length);
        question.begin();
        carry(self.id().text(), to.text(), () -> arrive(question, msg, data));
    }

    private void arrive(final Question question, final Msg msg, final byte[] data) {
        final SimNode peer = nodes.get(question.to);
        if (question.reset) {
            return;
        }
        if (peer == null || !peer.alive()) {
            question.carryBack(Reply.lost(Reply.Trouble.NOT_SENT));
            return;
        }
        final long life = peer.life();
        tap.accept(question.to, msg);
        question.arrived();
        peer.post(() -> peer.node().take(question.self.id(), open(data).msg(), m -> {
            final byte[] back =
                    word.apply(question.to, Wire.pack(new Wire.Envelope(Wire.VERSION, 0, 1, question.to, m)));
            weigh(m, back.length);
            if (peer.life() == life && peer.alive()) {
                question.carryBack(Reply.of(open(back).msg()));
            }
        }));
    }

    /** One question from a process to another: what is said of it is heard only once, and only by the life that asked. */
    private final class Question {
        private final SimNode self;
        private final NodeId to;
        private final Consumer<Reply> then;
        private final long life;
        private final String link;
        private final Runnable peerEnded = () -> carryBack(Reply.lost(Reply.Trouble.NO_ANSWER));
        private final Runnable circuitReset = this::reset;
        private boolean over;
        private boolean reset;

        Question(final SimNode self, final NodeId to, final Consumer<Reply> then) {
            this.self = self;
            this.to = to;
            this.then = then;
            this.life = self.life();
            this.link = self.id().text() + ">" + to.text();
        }

        void begin() {
            underWay.computeIfAbsent(link, k -> new LinkedHashSet<>()).add(circuitReset);
        }

        void arrived() {
            begun.computeIfAbsent(to, k -> new LinkedHashSet<>()).add(peerEnded);
        }

        private void reset() {
            reset = true;
            hear(Reply.lost(Reply.Trouble.NO_ANSWER));
        }

        void carryBack(final Reply r) {
            carry(to.text(), self.id().text(), () -> hear(r));
        }

        void hear(final Reply r) {
            if (self.life() == life) {
                self.post(() -> answered(r));
            }
        }

        void answered(final Reply r) {
            if (!over) {
                over = true;
                begun.computeIfPresent(to, (k, all) -> all.remove(peerEnded) && all.isEmpty() ? null : all);
                underWay.computeIfPresent(link, (k, all) -> all.remove(circuitReset) && all.isEmpty() ? null : all);
                then.accept(r);
            }
        }
    }

    private static Wire.Envelope open(final byte[] data) {
        try {
            return Wire.open(data);
        } catch (final WireTrouble e) {
            throw new IllegalStateException(e);
        }
    }
}
