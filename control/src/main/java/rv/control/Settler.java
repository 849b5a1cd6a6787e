package rv.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import rv.base.Item;
import rv.base.ItemId;
import rv.base.Loop;
import rv.base.Msg;

/** Finishes what a vanished writer began: values accepted here that nobody has called chosen. */
public final class Settler {
    private final Elector elector;
    private final Held held;
    private final Writer writer;
    private final Loop loop;
    private final Random dice;
    private final Map<ItemId, Long> seen = new HashMap<>();

    public Settler(final Elector elector, final Held held, final Writer writer, final Loop loop, final Random dice) {
        this.elector = elector;
        this.held = held;
        this.writer = writer;
        this.loop = loop;
        this.dice = dice;
    }

    public void start() {
        loop.every(150, this::round);
    }

    private void round() {
        for (final Map.Entry<ItemId, Msg.Slot> e : elector.slots().entrySet()) {
            final Item item = e.getValue().item();
            if (!item.ver().above(held.get(e.getKey()).ver())) {
                seen.remove(e.getKey());
            } else {
                final long due = seen.computeIfAbsent(e.getKey(), k -> loop.now() + 150 + dice.nextInt(300));
                if (loop.now() >= due) {
                    seen.put(e.getKey(), loop.now() + 800);
                    writer.read(e.getKey(), 700, r -> { });
                }
            }
        }
    }
}
