package rv.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import rv.base.Finding;
import rv.base.Hash;
import rv.base.Item;
import rv.base.ItemId;
import rv.base.Kind;
import rv.base.Msg;

/** Operators' orders under versions of their own: items set and dropped, objects purged, the whole read back. */
public final class Orders {
    private static final long SPAN = 2500;
    private static final long AGAIN = 700;
    private final ItemStore held;
    private final FrameSync sync;
    private final Writer writer;
    private final Supplier<String> tags;

    public Orders(final ItemStore held, final FrameSync sync, final Writer writer, final Supplier<String> tags) {
        this.held = held;
        this.sync = sync;
        this.writer = writer;
        this.tags = tags;
    }

    private static ItemService.ApiResult late(final String why) {
        return new ItemService.ApiResult(503, ItemService.map("fate", "refused", "reason", why, "retryAfterMs", 500));
    }

    /** 200 once every item of the call stands at a majority, synced; repeating the call is harmless. */
    public void patch(final byte[] data, final Consumer<ItemService.ApiResult> back) {
        if (!sync.fresh()) {
            back.accept(late("this node's frame is not confirmed"));
            return;
        }
        final List<Finding> faults = new ArrayList<>();
        final Patch patch = Patch.read(data, held, faults);
        if (faults.isEmpty()) {
            put(patch, back);
        } else {
            sync.after(held.now(), AGAIN, ok -> again(data, ok, back));
        }
    }

    /** What it names may have been stated at another node a moment ago: only a frame confirmed since may refuse it. */
    private void again(final byte[] data, final boolean sure, final Consumer<ItemService.ApiResult> back) {
        final List<Finding> faults = new ArrayList<>();
        final Patch patch = Patch.read(data, held, faults);
        if (faults.isEmpty()) {
            put(patch, back);
        } else {
            back.accept(sure ? ItemService.faults(faults) : late("no majority confirmed the frame"));
        }
    }

    private void put(final Patch patch, final Consumer<ItemService.ApiResult> back) {
        final Map<String, Object> done = new TreeMap<>();
        final int[] left = {patch.parts().size()};
        final boolean[] whole = {true};
        if (left[0] == 0) {
            back.accept(new ItemService.ApiResult(200, ItemService.map("fate", "done", "items", done)));
            return;
        }
        patch.parts().forEach((id, p) -> {
            final String tag = tags.get();
            writer.write(id, tag, SPAN, now -> Optional.of(p.over(now, tag)), r -> {
                whole[0] &= r.ok();
                done.put(id.kind().word() + "/" + id.name(), r.item().ver().n());
                if (--left[0] == 0) {
                    back.accept(
                            whole[0]
                                    ? new ItemService.ApiResult(200, ItemService.map("fate", "done", "items", done))
                                    : late("no majority confirmed every item"));
                }
            });
        });
    }

    /** Of a host's path or of a tag; each order is a version of its own, so that what was filled since the last one goes too. */
    public void purge(final Purge what, final Consumer<ItemService.ApiResult> back) {
        if (!sync.fresh()) {
            back.accept(late("this node's frame is not confirmed"));
            return;
        }
        final String name = (what.tag() != null ? "t." : "h.")
                + Long.toHexString(Hash.mix(what.tag() != null ? what.tag() : what.host() + "|" + what.path()));
        final ItemId id = new ItemId(Kind.PURGE, name);
        final String tag = tags.get();
        final String body = Json.text(what);
        writer.write(
                id,
                tag,
                SPAN,
                now -> {
                    final Item n = now.next(body, tag);
                    return Optional.of(new Item(id, held.rise(n), n.body(), false, tag));
                },
                r -> back.accept(
                        r.ok()
                                ? new ItemService.ApiResult(
                                        200,
                                        ItemService.map(
                                                "fate",
                                                "done",
                                                "item",
                                                "purge/" + name,
                                                "version",
                                                r.item().ver().n()))
                                : late("no majority confirmed the purge")));
    }

    /** All that stands, as of a moment after the question: nothing accepted before is missing. */
    public void whole(final long span, final Consumer<Optional<Map<Kind, Map<String, Item>>>> back) {
        sync.after(held.now(), span, ok -> {
            if (!ok) {
                back.accept(Optional.empty());
                return;
            }
            final Map<Kind, Map<String, Item>> all = new HashMap<>();
            held.all().stream()
                    .map(Msg.Chosen::item)
                    .filter(i -> i.live() && i.id().kind().stated())
                    .forEach(i -> all.computeIfAbsent(i.id().kind(), k -> new TreeMap<>())
                            .put(i.id().name(), i));
            back.accept(Optional.of(all));
        });
    }
}
