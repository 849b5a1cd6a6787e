package org.rowanvalve.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.eclipse.collections.api.map.ImmutableMap;
import org.eclipse.collections.api.map.MutableMap;
import org.eclipse.collections.impl.factory.Maps;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.Event;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Ver;

/** The chosen items a node has learned. Versions never fall. */
public final class ItemStore {
    private final Loop loop;
    private final Journal journal;
    private final MutableMap<ItemId, Msg.Chosen> map = Maps.mutable.empty();
    private final Map<ItemId, Long> since = new HashMap<>();
    private final List<Consumer<Item>> views = new ArrayList<>();
    private final Digest digest = new Digest();
    private final Map<Kind, Long> tops = new HashMap<>();
    private Sweep sweep = Sweep.NONE;

    public ItemStore(final Loop loop, final Journal journal) {
        this.loop = loop;
        this.journal = journal;
    }

    public void watch(final Consumer<Item> view) {
        views.add(view);
    }

    public boolean merge(final Msg.Chosen got) {
        final Item item = got.item();
        final Item old = get(item.id());
        if (!item.ver().above(old.ver()) || sweep.drops(item.id(), item.ver().n())) {
            return false;
        }
        digest.swap(old, item);
        map.put(item.id(), got);
        since.put(item.id(), loop.now());
        journal.add(Event.of(
                Code.LEARNED, "item", item.id().text(), "ver", item.ver().n(), "gone", item.gone()));
        views.forEach(v -> v.accept(item));
        tops.merge(item.id().kind(), item.ver().n(), Math::max);
        if (item.id().equals(Sweep.ID)) {
            drop(Sweep.of(item));
        }
        return true;
    }

    private void drop(final Sweep now) {
        sweep = now;
        final List<Item> dead = map.values().stream()
                .map(Msg.Chosen::item)
                .filter(i -> sweep.drops(i.id(), i.ver().n()))
                .toList();
        for (final Item i : dead) {
            digest.swap(i, Item.none(i.id()));
            map.remove(i.id());
            since.remove(i.id());
            views.forEach(v -> v.accept(Item.none(i.id())));
        }
        journal.add(Event.of(Code.SWEPT, "purges", now.purges(), "origins", now.origins(), "dropped", dead.size()));
    }

    public Sweep sweep() {
        return sweep;
    }

    /** The version of the next item of a kind whose versions rise together. */
    public Ver rise(final Item next) {
        final Kind kind = next.id().kind();
        final long least = 1 + Math.max(sweep.floor(kind), tops.getOrDefault(kind, 0L));
        return kind.rising() && least > next.ver().n() ? new Ver(least) : next.ver();
    }

    public Item get(final ItemId id) {
        final Msg.Chosen c = map.get(id);
        return c == null ? Item.none(id) : c.item();
    }

    public long now() {
        return loop.now();
    }

    public long since(final ItemId id) {
        return since.getOrDefault(id, 0L);
    }

    public Collection<Msg.Chosen> all() {
        return map.values();
    }

    public List<Msg.Chosen> chosen(final Collection<ItemId> ids) {
        return ids.stream().map(map::get).filter(java.util.Objects::nonNull).toList();
    }

    public ImmutableMap<ItemId, Msg.Chosen> frame() {
        return map.toImmutable();
    }

    public Map<ItemId, Ver> vers(final Collection<Integer> cells) {
        final Map<ItemId, Ver> vers = new HashMap<>();
        map.forEachKeyValue((k, c) -> {
            if (cells.contains(Digest.cell(k))) {
                vers.put(k, c.item().ver());
            }
        });
        return vers;
    }

    public Digest digest() {
        return digest;
    }
}
