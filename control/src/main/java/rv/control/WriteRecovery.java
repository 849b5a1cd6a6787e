package rv.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.IntSupplier;
import rv.base.Item;
import rv.base.ItemId;
import rv.base.Loop;
import rv.base.Msg;

/**
 * Finishes what a vanished writer began: values accepted here that nobody has called chosen. What a start finds on its
 * disk is finished at once, by the first of the electors that is there, since after a loss of all power nobody else can.
 */
public final class WriteRecovery {
    private final Voter elector;
    private final ItemStore held;
    private final Writer writer;
    private final Loop loop;
    private final Random dice;
    private static final long YOUNG = 4000;
    private static final long TURN = 250;
    private final IntSupplier rank;
    private final Map<ItemId, Long> seen = new HashMap<>();
    private final Set<ItemId> old = new HashSet<>();
    private long born;

    /** {@code rank}: this elector's place among all. */
    public WriteRecovery(
            final Voter elector,
            final ItemStore held,
            final Writer writer,
            final Loop loop,
            final Random dice,
            final IntSupplier rank) {
        this.rank = rank;
        this.elector = elector;
        this.held = held;
        this.writer = writer;
        this.loop = loop;
        this.dice = dice;
    }

    public void start() {
        born = loop.now();
        old.addAll(elector.slots().keySet());
        loop.post(this::round);
        loop.every(50, this::round);
    }

    private void round() {
        if (!elector.votes()) {
            return;
        }
        for (final Map.Entry<ItemId, Msg.Slot> e : elector.slots().entrySet()) {
            final Item item = e.getValue().item();
            if (!item.ver().above(held.get(e.getKey()).ver())) {
                seen.remove(e.getKey());
            } else {
                final boolean kept = loop.now() - born < YOUNG && old.contains(e.getKey());
                final long due = seen.computeIfAbsent(
                        e.getKey(), k -> loop.now() + (kept ? rank.getAsInt() * TURN : 150 + dice.nextInt(300)));
                if (loop.now() >= due) {
                    seen.put(e.getKey(), loop.now() + (kept ? TURN + dice.nextInt(100) : 800));
                    writer.read(e.getKey(), 700, r -> {});
                }
            }
        }
    }
}
