package org.rowanvalve.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Ver;

/** The electors' side of the questions. */
public final class ViewServer {
    private static final int WANT = 200;
    private static final long LOOK = 10;
    private static final long MOST = 300;
    private final Voter elector;
    private final ItemStore held;
    private final Loop loop;

    public ViewServer(final Voter elector, final ItemStore held, final Loop loop) {
        this.elector = elector;
        this.held = held;
        this.loop = loop;
    }

    public void query(final Msg.Query ask, final Consumer<Msg> back) {
        final boolean same = ask.hash() == elector.digest().all();
        back.accept(elector.refusal(ask.epoch())
                .orElseGet(() ->
                        new Msg.Same(same, same ? List.of() : elector.digest().sums())));
    }

    public void vers(final Msg.Vers ask, final Consumer<Msg> back) {
        final Optional<Msg> refusal = elector.refusal(ask.epoch());
        if (refusal.isPresent()) {
            back.accept(refusal.get());
            return;
        }
        final Map<ItemId, Ver> open = new HashMap<>();
        elector.slots().forEach((id, s) -> {
            final Ver v = s.item().ver();
            final boolean renewal =
                    id.equals(ItemId.TENURE) && held.get(id).ver().n() > 0;
            if (!renewal
                    && ask.cells().contains(Digest.cell(id))
                    && v.above(held.get(id).ver())
                    && v.above(ask.vers().getOrDefault(id, Ver.ZERO))) {
                open.put(id, v);
            }
        });
        settled(ask, open, loop.now() + MOST, back);
    }

    /** What was accepted here and not known as chosen when the question came is waited for; later writes are not. */
    private void settled(final Msg.Vers ask, final Map<ItemId, Ver> open, final long cutoff, final Consumer<Msg> back) {
        open.entrySet()
                .removeIf(e -> !e.getValue().above(held.get(e.getKey()).ver())
                        || held.sweep().drops(e.getKey(), e.getValue().n()));
        if (!open.isEmpty() && loop.now() < cutoff) {
            loop.after(LOOK, () -> settled(ask, open, cutoff, back));
        } else {
            give(ask, open.isEmpty(), back);
        }
    }

    private void give(final Msg.Vers ask, final boolean whole, final Consumer<Msg> back) {
        final List<Msg.Chosen> list = new ArrayList<>();
        int size = 0;
        boolean all = whole && elector.refusal(ask.epoch()).isEmpty();
        for (final Msg.Chosen c : held.all()) {
            if (ask.cells().contains(Digest.cell(c.item().id()))
                    && c.item().ver().above(ask.vers().getOrDefault(c.item().id(), Ver.ZERO))) {
                size += c.item().size();
                if (size > 1 << 20) {
                    all = false;
                    break;
                }
                list.add(c);
            }
        }
        final List<ItemId> want = ask.vers().entrySet().stream()
                .filter(e -> e.getValue().above(held.get(e.getKey()).ver())
                        && !held.sweep().drops(e.getKey(), e.getValue().n())
                        && e.getValue().above(elector.ver(e.getKey())))
                .map(Map.Entry::getKey)
                .limit(WANT)
                .toList();
        back.accept(new Msg.Give(list, all, want));
    }
}
