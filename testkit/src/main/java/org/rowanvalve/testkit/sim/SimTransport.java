package org.rowanvalve.testkit.sim;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.MessageCodec;
import org.rowanvalve.common.message.MessageFormatException;
import org.rowanvalve.common.message.RejectedResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.Transport;

/**
 * Links with delay, jitter, stalls for lost packets, and partitions in either direction. Every message is encoded and
 * decoded as between processes.
 */
public final class SimTransport {
    private static final String ANSWER_TOO_LARGE = "the answer is larger than a frame";

    private final VirtualTime time;
    private final BiFunction<String, String, Long> base;
    private final Map<NodeId, SimNode> nodes = new TreeMap<>();
    private final Map<String, Integer> cuts = new HashMap<>();
    private final Map<String, Long> last = new HashMap<>();
    private final Map<String, Long> kinds = new TreeMap<>();
    private final Map<NodeId, Set<Runnable>> begun = new HashMap<>();
    private final Map<String, Set<Runnable>> underWay = new HashMap<>();
    /** By link, what names the circuit that questions go out on now. */
    private final Map<String, Long> circuits = new TreeMap<>();

    private final Map<NodeId, LongConsumer> closeListeners = new HashMap<>();
    private long lastCircuit;
    private double loss;
    private long slow;
    private long sent;
    private long bytes;
    private BiFunction<NodeId, byte[], byte[]> word = (from, data) -> data;
    private java.util.function.BiConsumer<NodeId, Message> tap = (recipient, msg) -> {};

    public SimTransport(final VirtualTime time, final BiFunction<String, String, Long> base) {
        this.time = time;
        this.base = base;
    }

    void join(final SimNode node) {
        nodes.put(node.id(), node);
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
        final String own = dead.text() + ">";
        List.copyOf(circuits.keySet()).stream()
                .filter(link -> link.startsWith(own))
                .forEach(this::endCircuit);
    }

    /** The one who was asked on it hears of its end, if the link is open. */
    private void endCircuit(final String link) {
        final Long id = circuits.remove(link);
        final int cut = link.indexOf('>');
        final NodeId asked = NodeId.of(link.substring(cut + 1));
        final SimNode peer = nodes.get(asked);
        if (id != null && peer != null) {
            final long life = peer.life();
            carry(link.substring(0, cut), asked.text(), () -> {
                if (peer.alive() && peer.life() == life) {
                    peer.execute(() ->
                            closeListeners.getOrDefault(asked, circuit -> {}).accept(id));
                }
            });
        }
    }

    /** A circuit is reset: what is under way on it, in either direction, is lost, and the one who asked hears so. */
    public void resetCircuit(final String a, final String b) {
        final Set<Runnable> both = new LinkedHashSet<>();
        for (final String link : List.of(a + ">" + b, b + ">" + a)) {
            both.addAll(underWay.getOrDefault(link, Set.of()));
        }
        both.forEach(Runnable::run);
        List.of(a + ">" + b, b + ">" + a).forEach(this::endCircuit);
    }

    /** What a node says, as another version of it would. */
    public void word(final BiFunction<NodeId, byte[], byte[]> say) {
        word = say;
    }

    /** Sees every question that arrives. */
    public void tap(final java.util.function.BiConsumer<NodeId, Message> see) {
        tap = see;
    }

    private void weigh(final Message msg, final int size) {
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
                + time.dice().nextInt(2)
                + (slow == 0 ? 0 : time.dice().nextInt((int) slow));
        if (loss > 0 && time.dice().nextDouble() < loss) {
            d += 200 + time.dice().nextInt(200);
        }
        return d;
    }

    /** Delivers in order per direction, if the link is open both when sent and when it arrives. */
    private void carry(final String from, final String to, final Runnable job) {
        if (!open(from, to)) {
            return;
        }
        final String link = from + ">" + to;
        final long due = Math.max(time.now() + delay(from, to), last.getOrDefault(link, 0L));
        last.put(link, due);
        time.at(due, () -> {
            if (open(from, to)) {
                job.run();
            }
        });
    }

    Transport of(final SimNode self) {
        return new NodeTransport(self);
    }

    private final class NodeTransport implements Transport {
        private final SimNode self;

        NodeTransport(final SimNode self) {
            this.self = self;
        }

        @Override
        public void request(final NodeId recipient, final Message msg, final long wait, final Consumer<Reply> then) {
            ask(self, recipient, msg, wait, then);
        }

        @Override
        public void onConnectionClosed(final LongConsumer listener) {
            closeListeners.put(self.id(), listener);
        }
    }

    /** What one question is answered by. */
    private record CircuitResponder(long connectionId, Consumer<Message> then) implements Transport.Responder {
        @Override
        public void accept(final Message message) {
            then.accept(message);
        }
    }

    private void ask(
            final SimNode self,
            final NodeId recipient,
            final Message msg,
            final long wait,
            final Consumer<Reply> then) {
        final Question question = new Question(self, recipient, then);
        self.schedule(wait, () -> question.answered(Reply.failed(Reply.Failure.NO_RESPONSE)));
        if (recipient.equals(self.id())) {
            self.execute(() -> self.node().handle(self.id(), msg, m -> question.hear(Reply.of(m))));
            return;
        }
        final byte[] data = word.apply(
                self.id(),
                MessageCodec.encode(new MessageCodec.Frame(MessageCodec.PROTOCOL_VERSION, ++sent, 0, self.id(), msg)));
        if (data.length > MessageCodec.MAX_FRAME_BYTES) {
            self.execute(() -> question.answered(Reply.failed(Reply.Failure.NOT_SENT)));
            return;
        }
        weigh(msg, data.length);
        question.begin();
        question.circuit = circuits.computeIfAbsent(question.link, link -> ++lastCircuit);
        carry(self.id().text(), recipient.text(), () -> arrive(question, msg, data));
    }

    private void arrive(final Question question, final Message msg, final byte[] data) {
        final SimNode peer = nodes.get(question.recipient);
        if (question.reset) {
            return;
        }
        if (peer == null || !peer.alive()) {
            question.carryBack(Reply.failed(Reply.Failure.NOT_SENT));
            return;
        }
        final long life = peer.life();
        tap.accept(question.recipient, msg);
        question.arrived();
        peer.process(
                data.length,
                () -> peer.node()
                        .handle(
                                question.self.id(),
                                open(data).message(),
                                new CircuitResponder(question.circuit, m -> answer(question, peer, life, m))));
    }

    private void answer(final Question question, final SimNode peer, final long life, final Message message) {
        final byte[] back = word.apply(question.recipient, answerFrame(question.recipient, message));
        weigh(message, back.length);
        if (peer.life() == life && peer.alive()) {
            question.carryBack(Reply.of(open(back).message()), back.length);
        }
    }

    /** An answer that is larger than a message may be is replaced, as between processes. */
    private static byte[] answerFrame(final NodeId from, final Message message) {
        final byte[] data =
                MessageCodec.encode(new MessageCodec.Frame(MessageCodec.PROTOCOL_VERSION, 0, 1, from, message));
        return data.length <= MessageCodec.MAX_FRAME_BYTES
                ? data
                : MessageCodec.encode(new MessageCodec.Frame(
                        MessageCodec.PROTOCOL_VERSION, 0, 1, from, new RejectedResponse(ANSWER_TOO_LARGE)));
    }

    /** One question from a process to another: what is said of it is heard only once, and only by the life that asked. */
    private final class Question {
        private final SimNode self;
        private final NodeId recipient;
        private final Consumer<Reply> then;
        private final long life;
        private final String link;
        private final Runnable peerEnded = () -> carryBack(Reply.failed(Reply.Failure.NO_RESPONSE));
        private final Runnable circuitReset = this::reset;
        private long circuit;
        private boolean over;
        private boolean reset;

        Question(final SimNode self, final NodeId recipient, final Consumer<Reply> then) {
            this.self = self;
            this.recipient = recipient;
            this.then = then;
            this.life = self.life();
            this.link = self.id().text() + ">" + recipient.text();
        }

        void begin() {
            underWay.computeIfAbsent(link, k -> new LinkedHashSet<>()).add(circuitReset);
        }

        void arrived() {
            begun.computeIfAbsent(recipient, k -> new LinkedHashSet<>()).add(peerEnded);
        }

        private void reset() {
            reset = true;
            hear(Reply.failed(Reply.Failure.NO_RESPONSE));
        }

        void carryBack(final Reply reply) {
            carryBack(reply, 0);
        }

        void carryBack(final Reply reply, final int frameBytes) {
            carry(recipient.text(), self.id().text(), () -> hear(reply, frameBytes));
        }

        void hear(final Reply reply) {
            hear(reply, 0);
        }

        private void hear(final Reply reply, final int frameBytes) {
            if (self.life() == life) {
                self.process(frameBytes, () -> answered(reply));
            }
        }

        void answered(final Reply reply) {
            if (!over) {
                over = true;
                begun.computeIfPresent(recipient, (k, all) -> all.remove(peerEnded) && all.isEmpty() ? null : all);
                underWay.computeIfPresent(link, (k, all) -> all.remove(circuitReset) && all.isEmpty() ? null : all);
                then.accept(reply);
            }
        }
    }

    private static MessageCodec.Frame open(final byte[] data) {
        try {
            return MessageCodec.decodeFrame(data);
        } catch (final MessageFormatException e) {
            throw new IllegalStateException(e);
        }
    }
}
