package org.rowanvalve.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.Event;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.Loop;

/** Origins that beat: an item is written only when something about one changes, the beats themselves stay here. */
public final class Registry {
    private static final long SPAN = 900;
    private static final long CONTACT = 700;
    private static final long RETRY = 300;
    private final Loop loop;
    private final ItemStore held;
    private final FrameSync sync;
    private final Writer writer;
    private final Journal journal;
    private final Supplier<String> tags;
    private final Map<ItemId, Long> heard = new HashMap<>();

    public Registry(
            final Loop loop,
            final ItemStore held,
            final FrameSync sync,
            final Writer writer,
            final Journal journal,
            final Supplier<String> tags) {
        this.loop = loop;
        this.held = held;
        this.sync = sync;
        this.writer = writer;
        this.journal = journal;
        this.tags = tags;
    }

    private static boolean same(final Origin old, final Origin said) {
        return old.site(said)
                && old.leaving() == said.leaving()
                && old.slots() == said.slots()
                && old.cell().equals(said.cell());
    }

    private static ApiResult done(final String name) {
        return ApiResult.done("origin", name);
    }

    private static ApiResult late(final String why) {
        return ApiResult.unavailable(why, RETRY);
    }

    private Optional<Origin> standing(final ItemId id) {
        return Optional.of(held.get(id)).filter(Item::live).map(i -> Json.read(i.body(), Origin.class));
    }

    /**
     * A beat; one that comes late, by its count, changes nothing, and one that has left does not come back. What tells
     * news is written; a leave that tells none is acknowledged in contact with a majority.
     */
    public void beat(final String name, final Origin said, final Consumer<ApiResult> back) {
        if (!sync.fresh()) {
            back.accept(late("this node's frame is not confirmed"));
            return;
        }
        final ItemId id = new ItemId(Kind.ORIGIN, name);
        final Origin old = standing(id).orElse(null);
        heard.put(id, held.now());
        if (old == null || said.beat() > old.beat() && !old.leaving() && !same(old, said)) {
            write(id, said, back);
        } else if (said.leaving()) {
            confirmed(() -> back.accept(done(name)), back);
        } else {
            back.accept(done(name));
        }
    }

    /** It has ended, or says so: the same as leaving, for good. Said again, at any node, it is acknowledged again. */
    public void end(final String name, final Consumer<ApiResult> back) {
        final ItemId id = new ItemId(Kind.ORIGIN, name);
        heard.remove(id);
        if (standing(id).filter(o -> !o.leaving()).isPresent() && sync.fresh()) {
            leave(id, back);
        } else {
            confirmed(() -> leave(id, back), back);
        }
    }

    /** Goes on once a majority has confirmed this node's frame for a moment after now. */
    private void confirmed(final Runnable then, final Consumer<ApiResult> back) {
        if (!sync.fresh()) {
            back.accept(late("this node's frame is not confirmed"));
            return;
        }
        sync.after(loop.now(), CONTACT, ok -> {
            if (ok) {
                then.run();
            } else {
                back.accept(late("no majority answered"));
            }
        });
    }

    private void leave(final ItemId id, final Consumer<ApiResult> back) {
        standing(id)
                .filter(o -> !o.leaving())
                .ifPresentOrElse(o -> write(id, o.left(), back), () -> back.accept(done(id.name())));
    }

    private void write(final ItemId id, final Origin said, final Consumer<ApiResult> back) {
        final Consumer<ApiResult> once =
                AnswerDeadline.inContact(loop, sync, () -> late("no majority confirmed it in time"), back);
        final String tag = tags.get();
        writer.write(
                id,
                tag,
                SPAN,
                at -> {
                    final Origin was = at.live() ? Json.read(at.body(), Origin.class) : null;
                    if (was != null && (was.beat() >= said.beat() || was.leaving())) {
                        return Optional.of(at);
                    }
                    final Item n = at.next(Json.text(said), tag);
                    return Optional.of(new Item(id, held.rise(n), n.body(), false, tag));
                },
                r -> {
                    if (r.ok()) {
                        journal.add(Event.of(
                                said.leaving() ? Code.ORIGIN_LEFT : Code.ORIGIN_SEEN,
                                "origin",
                                id.name(),
                                "service",
                                said.service(),
                                "ver",
                                r.item().ver().n()));
                    }
                    once.accept(r.ok() ? done(id.name()) : late("no majority confirmed it"));
                });
    }

    /** How long ago each origin was last heard of here, in ms. */
    public Map<ItemId, Long> ages() {
        final Map<ItemId, Long> map = new HashMap<>();
        heard.forEach((id, at) -> map.put(id, held.now() - at));
        return map;
    }
}
