package rv.rig.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import rv.base.Msg;
import rv.base.Net;
import rv.base.NodeId;
import rv.base.Reply;
import rv.base.Wire;
import rv.base.WireTrouble;

/** Links with delay, jitter, stalls for lost packets, and cuts in either direction. Every message goes through the wire format. */
public final class SimNet {
    private final World world;
    private final BiFunction<String, String, Long> base;
    private final Map<NodeId, SimNode> nodes = new TreeMap<>();
    private final Set<String> cuts = new HashSet<>();
    private final Map<String, Long> last = new HashMap<>();
    private final Map<String, Long> kinds = new TreeMap<>();
    private final Map<NodeId, Set<Runnable>> begun = new HashMap<>();
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

    public void cut(final String from, final String to) {
        cuts.add(from + ">" + to);
    }

    public void heal() {
        cuts.clear();
    }

    public boolean open(final String from, final String to) {
        return !cuts.contains(from + ">" + to);
    }

    /** A process ended while its machine stayed up: whoever waits for an answer of its hears so at once. */
    public void reset(final NodeId dead) {
        final Set<Runnable> all = begun.remove(dead);
        if (all != null) {
            all.forEach(Runnable::run);
        }
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
        final boolean[] over = {false};
        final Runnable[] broken = new Runnable[1];
        final Consumer<Reply> once = r -> {
            if (!over[0]) {
                over[0] = true;
                begun.computeIfPresent(to, (k, all) -> all.remove(broken[0]) && all.isEmpty() ? null : all);
                then.accept(r);
            }
        };
        self.after(wait, () -> once.accept(Reply.lost(Reply.Trouble.NO_ANSWER)));
        if (to.equals(self.id())) {
            self.post(() -> self.node().take(self.id(), msg, m -> self.post(() -> once.accept(Reply.of(m)))));
            return;
        }
        final byte[] data =
                word.apply(self.id(), Wire.pack(new Wire.Envelope(Wire.VERSION, ++sent, 0, self.id(), msg)));
        weigh(msg, data.length);
        final String a = self.id().text();
        final String b = to.text();
        carry(a, b, () -> {
            final SimNode peer = nodes.get(to);
            if (peer == null || !peer.alive()) {
                carry(b, a, () -> self.post(() -> once.accept(Reply.lost(Reply.Trouble.NOT_SENT))));
                return;
            }
            final long life = peer.life();
            tap.accept(to, msg);
            broken[0] = () -> carry(b, a, () -> self.post(() -> once.accept(Reply.lost(Reply.Trouble.NO_ANSWER))));
            begun.computeIfAbsent(to, k -> new LinkedHashSet<>()).add(broken[0]);
            peer.post(() -> peer.node().take(self.id(), open(data).msg(), m -> {
                final byte[] back = word.apply(to, Wire.pack(new Wire.Envelope(Wire.VERSION, 0, 1, to, m)));
                weigh(m, back.length);
                if (peer.life() == life && peer.alive()) {
                    carry(
                            b,
                            a,
                            () -> self.post(
                                    () -> once.accept(Reply.of(open(back).msg()))));
                }
            }));
        });
    }

    private static Wire.Envelope open(final byte[] data) {
        try {
            return Wire.open(data);
        } catch (final WireTrouble e) {
            throw new IllegalStateException(e);
        }
    }
}
