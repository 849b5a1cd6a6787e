package org.rowanvalve.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Loop;
import org.rowanvalve.control.OrderLedger.Judgement;
import org.rowanvalve.control.OrderLedger.Verdict;

/**
 * Takes calls into the ledger, several in one write, and then writes their items. Any node may do so at any time: what
 * is decided is decided by the ledger's ballots, and an item is only ever written as the ledger says.
 */
final class OrderSequencer {
    private static final long SPAN = 2500;
    /** A call that nobody has finished for so long is finished by another node. */
    private static final long PATIENCE = 500;

    private static final long TURN = 250;
    private static final long ROUND = 250;
    /** Bodies that were written are taken out of the ledger by a write of its own where they are this large together. */
    private static final int LARGE = 8192;

    private final Loop loop;
    private final ItemStore held;
    private final Writer writer;
    private final Supplier<String> tags;
    private final List<Job> waiting = new ArrayList<>();
    private final Map<ItemId, Flight> flights = new HashMap<>();
    private boolean busy;
    private boolean tidy;
    private long known;
    private long seen;
    private OrderLedger ledger = OrderLedger.EMPTY;

    private record Job(Patch patch, Consumer<Judgement> then) {}

    /** The write of one item that is under way. */
    private record Flight(Patch.Part part, List<Consumer<Boolean>> waiters) {}

    OrderSequencer(final Loop loop, final ItemStore held, final Writer writer, final Supplier<String> tags) {
        this.loop = loop;
        this.held = held;
        this.writer = writer;
        this.tags = tags;
    }

    /** From now on this node finishes what others leave open; {@code rank} spreads several nodes in time. */
    void start(final int rank) {
        loop.every(ROUND, () -> finish(PATIENCE + rank * TURN));
    }

    /** STANDS is said once every item of the call is chosen; never says NEW. */
    void submit(final Patch patch, final Consumer<Judgement> then) {
        waiting.add(new Job(patch, then));
        pump();
    }

    /** Whether the ledger is known to hold all of a call. */
    boolean taken(final Patch patch) {
        return learned().judge(patch, held::get).verdict() == Verdict.STANDS;
    }

    private void pump() {
        if (busy || waiting.isEmpty() && !tidy) {
            return;
        }
        busy = true;
        tidy = false;
        final List<Job> batch = List.copyOf(waiting);
        waiting.clear();
        final String tag = tags.get();
        writer.write(ItemId.LEDGER, tag, SPAN, now -> Optional.of(next(now, batch, tag)), r -> {
            busy = false;
            if (r.ok()) {
                final OrderLedger chosen = OrderLedger.of(r.item());
                batch.forEach(job -> settle(chosen, job));
                clean(r.item());
            } else {
                batch.forEach(job -> job.then().accept(Judgement.of(Verdict.OPEN)));
            }
            pump();
        });
    }

    /** The ledger with each call of the batch that can be taken; where there is none, the standing value itself. */
    private Item next(final Item now, final List<Job> batch, final String tag) {
        final OrderLedger before = OrderLedger.of(now);
        OrderLedger after = batch.isEmpty() ? before.cleaned(held::get) : before;
        for (final Job job : batch) {
            if (after.judge(job.patch(), held::get).verdict() == Verdict.NEW) {
                after = after.with(job.patch(), held::get);
            }
        }
        return after == before ? now : now.next(after.cleaned(held::get).text(), tag);
    }

    /** Judged by the value that a majority has accepted, so no verdict rests on one that may yet be replaced. */
    private void settle(final OrderLedger chosen, final Job job) {
        final Judgement judgement = chosen.judge(job.patch(), held::get);
        switch (judgement.verdict()) {
            case STANDS ->
                write(
                        chosen,
                        job.patch().parts().keySet(),
                        ok -> job.then().accept(Judgement.of(ok ? Verdict.STANDS : Verdict.OPEN)));
            case NEW -> job.then().accept(Judgement.of(Verdict.OPEN));
            default -> job.then().accept(judgement);
        }
    }

    /** Hears true once each of these items is chosen as the ledger says. */
    private void write(final OrderLedger chosen, final Collection<ItemId> ids, final Consumer<Boolean> then) {
        final Map<ItemId, Patch.Part> todo = chosen.pending(held::get);
        todo.keySet().retainAll(ids);
        if (todo.isEmpty()) {
            then.accept(true);
            return;
        }
        final int[] left = {todo.size()};
        final boolean[] whole = {true};
        todo.forEach((id, part) -> write(id, part, ok -> {
            whole[0] &= ok;
            if (--left[0] == 0) {
                then.accept(whole[0]);
            }
        }));
    }

    private void write(final ItemId id, final Patch.Part part, final Consumer<Boolean> then) {
        final Flight old = flights.get(id);
        if (old != null && !part.ver().above(old.part().ver())) {
            old.waiters().add(then);
            return;
        }
        final Flight flight = new Flight(part, new ArrayList<>(List.of(then)));
        flights.put(id, flight);
        final String tag = tags.get();
        writer.write(id, tag, SPAN, now -> Optional.of(part.over(now, tag)), r -> {
            flights.remove(id, flight);
            flight.waiters().forEach(w -> w.accept(r.ok()));
        });
    }

    /** The ledger as this node has learned it. */
    private OrderLedger learned() {
        final Item item = held.get(ItemId.LEDGER);
        if (item.ver().n() != known) {
            known = item.ver().n();
            seen = loop.now();
            ledger = OrderLedger.of(item);
        }
        return ledger;
    }

    private void finish(final long patience) {
        final OrderLedger now = learned();
        if (now.open().isEmpty() || loop.now() - seen < patience) {
            return;
        }
        final Map<ItemId, Patch.Part> todo = now.pending(held::get);
        todo.keySet().removeAll(flights.keySet());
        todo.forEach((id, part) -> write(id, part, ok -> {}));
    }

    /** Large bodies that stand do not stay in the ledger until the next call. */
    private void clean(final Item chosen) {
        if (chosen.body().length() > LARGE) {
            loop.after(PATIENCE, () -> {
                final OrderLedger now = learned();
                tidy = now.cleaned(held::get) != now;
                pump();
            });
        }
    }
}
