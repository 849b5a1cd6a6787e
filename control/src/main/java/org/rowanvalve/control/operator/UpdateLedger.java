package org.rowanvalve.control.operator;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.UpdateVerdict;
import org.rowanvalve.common.model.ValidationError;
import org.rowanvalve.control.json.Json;

/**
 * The value of the one register that decides operators' updates: for each item the versions taken last with the digest
 * of each body, and the updates whose items may not all be written yet. An update is taken as a whole, by one write of
 * this register, or not at all. Immutable.
 */
public record UpdateLedger(
        Map<ItemId, List<Taken>> taken,
        @JsonProperty("open") List<Map<ItemId, ConfigurationUpdate.ItemUpdate>> openUpdates) {
    /** Room for what an item has beside its body. */
    private static final int OTHER_BYTES = 1024;

    /** In place of a digest where a version drops its item. */
    static final String DELETED_DIGEST = "-";
    /** Versions that are remembered for each item, the highest ones, and never fewer where there were more. */
    static final int MIN_HISTORY = 8;

    /** Further versions that are remembered for all items together; items with the most give way first. */
    static final int SHARED_HISTORY = 256;

    /** Versions that are remembered in all, apart from one of each item; the lowest give way first. */
    static final int MAX_FURTHER_VERSIONS = 8192;

    static final UpdateLedger EMPTY = new UpdateLedger(Map.of(), List.of());

    /** A version that was taken, with the digest of its body; as text {@code NUMBER:DIGEST}. */
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

    /** {@code item}, {@code version}: where the conflict is, and the version that stands there. */
    record Judgement(UpdateVerdict verdict, ItemId item, long version, List<ValidationError> errors) {
        static Judgement of(final UpdateVerdict verdict) {
            return new Judgement(verdict, null, 0, List.of());
        }
    }

    static UpdateLedger of(final Item item) {
        return item.exists() ? Json.read(item.body(), UpdateLedger.class) : EMPTY;
    }

    String toJson() {
        return Json.write(this);
    }

    /** The versions known for an item, the highest first; a chosen item counts also where no update has named it. */
    private List<Taken> history(final ItemId id, final Function<ItemId, Item> standingItems) {
        final List<Taken> list = new ArrayList<>(taken.getOrDefault(id, List.of()));
        final Item item = standingItems.apply(id);
        final long number = item.version().number();
        if (number > 0 && list.stream().noneMatch(takenNumber -> takenNumber.number() == number)) {
            list.add(new Taken(
                    number, item.deleted() ? DELETED_DIGEST : ConfigurationUpdate.ItemUpdate.digest(item.body())));
        }
        list.sort(Comparator.comparingLong(Taken::number).reversed());
        return list;
    }

    private static long highestNumber(final List<Taken> history) {
        return history.isEmpty() ? 0 : history.get(0).number();
    }

    private static Optional<Taken> find(final List<Taken> history, final long number) {
        return history.stream()
                .filter(takenNumber -> takenNumber.number() == number)
                .findFirst();
    }

    private static boolean isRecorded(final List<Taken> history, final long number) {
        return find(history, number).isPresent()
                || history.size() >= MIN_HISTORY
                        && history.get(history.size() - 1).number() > number;
    }

    /** The verdict on an update; {@code standingItems}: items known as chosen. */
    Judgement judge(final ConfigurationUpdate update, final Function<ItemId, Item> standingItems) {
        boolean hasNew = false;
        final List<ValidationError> errors = new ArrayList<>();
        for (final Map.Entry<ItemId, ConfigurationUpdate.ItemUpdate> entry :
                update.updates().entrySet()) {
            final List<Taken> history = history(entry.getKey(), standingItems);
            final long number = entry.getValue().version().number();
            final Optional<Taken> same = find(history, number);
            if (same.isPresent() && !same.get().digest().equals(entry.getValue().digest())) {
                return new Judgement(UpdateVerdict.CONFLICT, entry.getKey(), highestNumber(history), List.of());
            }
            if (same.isEmpty()) {
                final boolean overtaken = number < highestNumber(history);
                errors.addAll(update.unknownServices(
                        entry.getKey(), service -> isKnownService(service, standingItems, overtaken)));
                hasNew |= !isRecorded(history, number);
            }
        }
        if (!errors.isEmpty()) {
            return new Judgement(UpdateVerdict.INVALID_REFERENCE, null, 0, errors);
        }
        return Judgement.of(hasNew ? UpdateVerdict.NEW : UpdateVerdict.TAKEN);
    }

    /** A route that takes effect needs a service that stands; one that was overtaken, a service that ever stood. */
    private boolean isKnownService(
            final ItemId service, final Function<ItemId, Item> standingItems, final boolean everKnown) {
        final List<Taken> history = history(service, standingItems);
        return !history.isEmpty() && (everKnown || !history.get(0).digest().equals(DELETED_DIGEST));
    }

    /**
     * The ledger with the update taken: all its versions recorded, and the parts that take effect among what is to be
     * written.
     */
    UpdateLedger withTaken(final ConfigurationUpdate update, final Function<ItemId, Item> standingItems) {
        final Map<ItemId, List<Taken>> next = new TreeMap<>(taken);
        final Map<ItemId, ConfigurationUpdate.ItemUpdate> force = new TreeMap<>();
        update.updates().forEach((id, part) -> {
            final List<Taken> history = history(id, standingItems);
            if (part.version().number() > highestNumber(history)) {
                force.put(id, part);
            }
            if (!isRecorded(history, part.version().number())) {
                next.put(
                        id,
                        Stream.concat(
                                        history.stream(),
                                        Stream.of(new Taken(part.version().number(), part.digest())))
                                .sorted(Comparator.comparingLong(Taken::number).reversed())
                                .toList());
            }
        });
        final List<Map<ItemId, ConfigurationUpdate.ItemUpdate>> calls = new ArrayList<>(openUpdates);
        if (!force.isEmpty()) {
            calls.add(force);
        }
        trim(next);
        return new UpdateLedger(next, calls);
    }

    private static void trim(final Map<ItemId, List<Taken>> all) {
        trimShared(all);
        int most = MIN_HISTORY;
        while (most > 1 && furtherVersions(all, most) > MAX_FURTHER_VERSIONS) {
            most--;
        }
        if (most < MIN_HISTORY) {
            final int kept = most;
            all.replaceAll((id, history) -> history.subList(0, Math.min(kept, history.size())));
        }
    }

    private static long furtherVersions(final Map<ItemId, List<Taken>> all, final int most) {
        return all.values().stream()
                .mapToLong(history -> Math.min(most, history.size()) - 1L)
                .sum();
    }

    private static void trimShared(final Map<ItemId, List<Taken>> all) {
        int more = all.values().stream()
                        .mapToInt(history -> Math.max(0, history.size() - MIN_HISTORY))
                        .sum()
                - SHARED_HISTORY;
        for (; more > 0; more--) {
            final Map.Entry<ItemId, List<Taken>> longest = all.entrySet().stream()
                    .max(Comparator.comparingInt(entry -> entry.getValue().size()))
                    .orElseThrow();
            longest.setValue(longest.getValue().subList(0, longest.getValue().size() - 1));
        }
    }

    /** The ledger without the updates whose every item is known as chosen, in their version or a higher one. */
    UpdateLedger withoutWritten(final Function<ItemId, Item> standingItems) {
        final List<Map<ItemId, ConfigurationUpdate.ItemUpdate>> left = openUpdates.stream()
                .filter(call -> call.entrySet().stream()
                        .anyMatch(entry -> entry.getValue()
                                .version()
                                .isAbove(standingItems.apply(entry.getKey()).version())))
                .toList();
        return left.size() == openUpdates.size() ? this : new UpdateLedger(taken, left);
    }

    /**
     * The ledger without the items of which it says no more than the item itself does: one version, which stands and is
     * {@code settled}.
     */
    UpdateLedger withoutSettled(final Function<ItemId, Item> standingItems, final Predicate<ItemId> settled) {
        final Map<ItemId, List<Taken>> left = new TreeMap<>(taken);
        left.entrySet()
                .removeIf(entry -> entry.getValue().size() == 1
                        && settled.test(entry.getKey())
                        && entry.getValue().get(0).number()
                                == standingItems.apply(entry.getKey()).version().number());
        return left.size() == taken.size() ? this : new UpdateLedger(left, openUpdates);
    }

    /** Whether the register may take this value. */
    boolean fits() {
        return toJson().getBytes(StandardCharsets.UTF_8).length <= Item.MAX_BYTES - OTHER_BYTES;
    }

    /** The highest part of each item that was taken and is not known as chosen yet. */
    Map<ItemId, ConfigurationUpdate.ItemUpdate> unwritten(final Function<ItemId, Item> standingItems) {
        final Map<ItemId, ConfigurationUpdate.ItemUpdate> all = new TreeMap<>();
        openUpdates.forEach(call -> call.forEach((id, part) -> {
            if (part.version().isAbove(standingItems.apply(id).version())) {
                all.merge(id, part, (a, b) -> a.version().isAbove(b.version()) ? a : b);
            }
        }));
        return all;
    }
}
