package org.rowanvalve.control;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Stream;
import org.rowanvalve.common.Finding;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;

/**
 * The value of the one register that decides operators' calls: for each item the numbers taken last and the digest of
 * each one's body, and the calls whose items may not all be written yet. A call is taken whole, by one write of this
 * register, or not at all. Immutable.
 */
record OrderLedger(Map<ItemId, List<Taken>> taken, List<Map<ItemId, Patch.Part>> open) {
    /** In place of a digest where a number drops its item. */
    static final String DROPPED = "-";
    /** So many numbers are remembered for each item, the highest ones, and never fewer where there were more. */
    static final int HISTORY = 8;

    /** So many more are remembered for all items together; those with the most give way first. */
    static final int SPARE = 256;

    static final OrderLedger EMPTY = new OrderLedger(Map.of(), List.of());

    /** A number that was taken, with the digest of its body; as text {@code NUMBER:DIGEST}. */
    record Taken(long number, String digest) {
        @JsonCreator
        static Taken parse(final String text) {
            final int cut = text.indexOf(':');
            return new Taken(Long.parseLong(text.substring(0, cut)), text.substring(cut + 1));
        }

        @JsonValue
        String text() {
            return number + ":" + digest;
        }
    }

    /** What a call comes to before a state of the ledger. */
    enum Verdict {
        /** Every number of the call was taken with this body, or was overtaken: nothing is left to decide. */
        STANDS,
        /** Some number is new: the call can be taken. */
        NEW,
        /** Some number was taken with another body. */
        CONFLICT,
        /** Some route names a service that is not known. */
        UNFIT,
        /** No majority has answered: it may stand or not. */
        OPEN
    }

    /** {@code item}, {@code version}: where the conflict is, and the number that stands there. */
    record Judgement(Verdict verdict, ItemId item, long version, List<Finding> findings) {
        static Judgement of(final Verdict verdict) {
            return new Judgement(verdict, null, 0, List.of());
        }
    }

    static OrderLedger of(final Item item) {
        return item.live() ? Json.read(item.body(), OrderLedger.class) : EMPTY;
    }

    String text() {
        return Json.text(this);
    }

    /** The numbers known for an item, the highest first; a chosen item counts also where no call has stated it. */
    private List<Taken> history(final ItemId id, final Function<ItemId, Item> held) {
        final List<Taken> list = new ArrayList<>(taken.getOrDefault(id, List.of()));
        final Item item = held.apply(id);
        final long number = item.ver().n();
        if (number > 0 && list.stream().noneMatch(t -> t.number() == number)) {
            list.add(new Taken(number, item.gone() ? DROPPED : Patch.Part.digest(item.body())));
        }
        list.sort(Comparator.comparingLong(Taken::number).reversed());
        return list;
    }

    private static long top(final List<Taken> history) {
        return history.isEmpty() ? 0 : history.get(0).number();
    }

    private static Optional<Taken> at(final List<Taken> history, final long number) {
        return history.stream().filter(t -> t.number() == number).findFirst();
    }

    private static boolean recorded(final List<Taken> history, final long number) {
        return at(history, number).isPresent()
                || history.size() >= HISTORY && history.get(history.size() - 1).number() > number;
    }

    /** What the call comes to; {@code held}: items known as chosen. */
    Judgement judge(final Patch patch, final Function<ItemId, Item> held) {
        boolean fresh = false;
        final List<Finding> unfit = new ArrayList<>();
        for (final Map.Entry<ItemId, Patch.Part> e : patch.parts().entrySet()) {
            final List<Taken> history = history(e.getKey(), held);
            final long number = e.getValue().ver().n();
            final Optional<Taken> same = at(history, number);
            if (same.isPresent() && !same.get().digest().equals(e.getValue().digest())) {
                return new Judgement(Verdict.CONFLICT, e.getKey(), top(history), List.of());
            }
            if (same.isEmpty()) {
                final boolean overtaken = number < top(history);
                unfit.addAll(patch.unknown(e.getKey(), s -> known(s, held, overtaken)));
                fresh |= !recorded(history, number);
            }
        }
        if (!unfit.isEmpty()) {
            return new Judgement(Verdict.UNFIT, null, 0, unfit);
        }
        return Judgement.of(fresh ? Verdict.NEW : Verdict.STANDS);
    }

    /** A route that takes force needs a service that stands; one that was overtaken, a service that ever stood. */
    private boolean known(final ItemId service, final Function<ItemId, Item> held, final boolean ever) {
        final List<Taken> history = history(service, held);
        return !history.isEmpty() && (ever || !history.get(0).digest().equals(DROPPED));
    }

    /** With the call taken: all its numbers recorded, and the parts that take force among what is to be written. */
    OrderLedger with(final Patch patch, final Function<ItemId, Item> held) {
        final Map<ItemId, List<Taken>> next = new TreeMap<>(taken);
        final Map<ItemId, Patch.Part> force = new TreeMap<>();
        patch.parts().forEach((id, part) -> {
            final List<Taken> history = history(id, held);
            if (part.ver().n() > top(history)) {
                force.put(id, part);
            }
            if (!recorded(history, part.ver().n())) {
                next.put(
                        id,
                        Stream.concat(
                                        history.stream(),
                                        Stream.of(new Taken(part.ver().n(), part.digest())))
                                .sorted(Comparator.comparingLong(Taken::number).reversed())
                                .toList());
            }
        });
        final List<Map<ItemId, Patch.Part>> calls = new ArrayList<>(open);
        if (!force.isEmpty()) {
            calls.add(force);
        }
        trim(next);
        return new OrderLedger(next, calls);
    }

    private static void trim(final Map<ItemId, List<Taken>> all) {
        int more = all.values().stream()
                        .mapToInt(l -> Math.max(0, l.size() - HISTORY))
                        .sum()
                - SPARE;
        for (; more > 0; more--) {
            final Map.Entry<ItemId, List<Taken>> longest = all.entrySet().stream()
                    .max(Comparator.comparingInt(e -> e.getValue().size()))
                    .orElseThrow();
            longest.setValue(longest.getValue().subList(0, longest.getValue().size() - 1));
        }
    }

    /** Without the calls whose every item is known as chosen, in their version or a higher one. */
    OrderLedger cleaned(final Function<ItemId, Item> held) {
        final List<Map<ItemId, Patch.Part>> left = open.stream()
                .filter(call -> call.entrySet().stream()
                        .anyMatch(e ->
                                e.getValue().ver().above(held.apply(e.getKey()).ver())))
                .toList();
        return left.size() == open.size() ? this : new OrderLedger(taken, left);
    }

    /** The highest part of each item that was taken and is not known as chosen yet. */
    Map<ItemId, Patch.Part> pending(final Function<ItemId, Item> held) {
        final Map<ItemId, Patch.Part> all = new TreeMap<>();
        open.forEach(call -> call.forEach((id, part) -> {
            if (part.ver().above(held.apply(id).ver())) {
                all.merge(id, part, (a, b) -> a.ver().above(b.ver()) ? a : b);
            }
        }));
        return all;
    }
}
