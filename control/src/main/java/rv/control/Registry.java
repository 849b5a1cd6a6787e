package rv.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import rv.base.Code;
import rv.base.Event;
import rv.base.Item;
import rv.base.ItemId;
import rv.base.Journal;
import rv.base.Kind;

/** Origins that beat: an item is written only when something about one changes, the beats themselves stay here. */
public final class Registry {
    private static final long SPAN = 900;
    private final ItemStore held;
    private final FrameSync sync;
    private final Writer writer;
    private final Journal journal;
    private final Supplier<String> tags;
    private final Map<ItemId, Long> heard = new HashMap<>();

    public Registry(
            final ItemStore held,
            final FrameSync sync,
            final Writer writer,
            final Journal journal,
            final Supplier<String> tags) {
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

    /** A beat; one that comes late, by its count, changes nothing, and one that has left does not come back. */
    public void beat(final String name, final Origin said, final Consumer<ItemService.ApiResult> back) {
        final ItemId id = new ItemId(Kind.ORIGIN, name);
        final Item now = held.get(id);
        final Origin old = now.live() ? Json.read(now.body(), Origin.class) : null;
        if (!sync.fresh()) {
            back.accept(new ItemService.ApiResult(
                    503,
                    ItemService.map(
                            "fate", "refused", "reason", "this node's frame is not confirmed", "retryAfterMs", 300)));
            return;
        }
        heard.put(id, held.now());
        if (old != null && (said.beat() <= old.beat() || old.leaving() || same(old, said))) {
            back.accept(new ItemService.ApiResult(200, ItemService.map("fate", "done", "origin", name)));
            return;
        }
        write(id, said, back);
    }

    /** It has ended, or says so: the same as leaving, for good. */
    public void end(final String name, final Consumer<ItemService.ApiResult> back) {
        final ItemId id = new ItemId(Kind.ORIGIN, name);
        final Item now = held.get(id);
        heard.remove(id);
        if (!sync.fresh()) {
            back.accept(new ItemService.ApiResult(
                    503,
                    ItemService.map(
                            "fate", "refused", "reason", "this node's frame is not confirmed", "retryAfterMs", 300)));
        } else if (now.live()) {
            final Origin o = Json.read(now.body(), Origin.class);
            if (o.leaving()) {
                back.accept(new ItemService.ApiResult(200, ItemService.map("fate", "done", "origin", name)));
            } else {
                write(
                        id,
                        new Origin(
                                o.service(),
                                o.host(),
                                o.port(),
                                o.stamp(),
                                o.kind(),
                                o.load(),
                                o.ttlMs(),
                                true,
                                Long.MAX_VALUE,
                                o.cell(),
                                o.slots(),
                                0),
                        back);
            }
        } else {
            back.accept(new ItemService.ApiResult(200, ItemService.map("fate", "done", "origin", name)));
        }
    }

    private void write(final ItemId id, final Origin said, final Consumer<ItemService.ApiResult> back) {
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
                    back.accept(
                            r.ok()
                                    ? new ItemService.ApiResult(
                                            200, ItemService.map("fate", "done", "origin", id.name()))
                                    : new ItemService.ApiResult(
                                            503,
                                            ItemService.map(
                                                    "fate",
                                                    "refused",
                                                    "reason",
                                                    "no majority confirmed it",
                                                    "retryAfterMs",
                                                    300)));
                });
    }

    /** How long ago each origin was last heard of here, in ms. */
    public Map<ItemId, Long> ages() {
        final Map<ItemId, Long> map = new HashMap<>();
        heard.forEach((id, at) -> map.put(id, held.now() - at));
        return map;
    }
}
