package org.rowanvalve.control.operator;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
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
import org.rowanvalve.common.model.Version;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.operator.ConfigurationUpdate.Revision;
import org.rowanvalve.control.store.ItemStore;

/**
 * The value of the single register that decides on operators' updates. For each item it records the latest versions
 * with the digest of each body; it also contains the updates whose items may not all be written yet. An update is
 * recorded as a whole, by one write of this register, or not at all. Immutable.
 */
public record UpdateLedger(
        Map<ItemId, List<RecordedVersion>> taken,
        @JsonProperty("open") List<Map<ItemId, ConfigurationUpdate.ItemUpdate>> openUpdates) {
    /** Space for the parts of an item other than its body. */
    private static final int ITEM_OVERHEAD_BYTES = 1024;

    /** Replaces the digest of a version that deletes its item. */
    static final String DELETED_DIGEST = "-";
    /**
     * Number of versions that are kept for each item, the highest ones; fewer only if {@link #MAX_FURTHER_VERSIONS} is
     * exceeded.
     */
    static final int MIN_HISTORY = 8;

    /**
     * Number of additional versions that are kept for all items together; the items with the longest histories lose
     * theirs first.
     */
    static final int SHARED_HISTORY = 256;

    /**
     * Number of versions that are kept in total besides the highest one of each item; the lowest versions are discarded
     * first.
     */
    static final int MAX_FURTHER_VERSIONS = 8192;

    static final UpdateLedger EMPTY = new UpdateLedger(Map.of(), List.of());

    /** A recorded version with the digest of its body, serialized as {@code NUMBER:DIGEST}. */
    record RecordedVersion(long number, String digest) {
        @JsonCreator
        static RecordedVersion parse(final String text) {
            final int cut = text.indexOf(':');
            return new RecordedVersion(Long.parseLong(text.substring(0, cut)), text.substring(cut + 1));
        }

        @JsonValue
        String text() {
            return number + ":" + digest;
        }
    }

    /**
     * A verdict on an update. {@code item}, {@code version}: for a conflict, the item concerned and its highest
     * version.
     */
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

    /**
     * The known versions of an item in descending order. The chosen version of the item is included even if no update
     * has recorded it.
     */
    private List<RecordedVersion> history(final ItemId id, final ItemStore items) {
        final List<RecordedVersion> list = new ArrayList<>(taken.getOrDefault(id, List.of()));
        final Item item = items.get(id);
        final long number = item.version().number();
        if (number > 0 && list.stream().noneMatch(recorded -> recorded.number() == number)) {
            list.add(new RecordedVersion(
                    number, item.deleted() ? DELETED_DIGEST : ConfigurationUpdate.ItemUpdate.digest(item.body())));
        }
        list.sort(Comparator.comparingLong(RecordedVersion::number).reversed());
        return list;
    }

    /** The highest known version number of an item; 0 if there is none. */
    long highestVersion(final ItemId id, final ItemStore items) {
        return Math.max(
                items.get(id).version().number(),
                highestRecorded(id).map(RecordedVersion::number).orElse(0L));
    }

    /** Whether the item exists once every recorded update is written. */
    boolean existsAfterWrites(final ItemId id, final ItemStore items) {
        final Item item = items.get(id);
        return highestRecorded(id)
                .filter(highest -> highest.number() > item.version().number())
                .map(highest -> !highest.digest().equals(DELETED_DIGEST))
                .orElse(item.exists());
    }

    private Optional<RecordedVersion> highestRecorded(final ItemId id) {
        return taken.getOrDefault(id, List.of()).stream().max(Comparator.comparingLong(RecordedVersion::number));
    }

    private static long highestNumber(final List<RecordedVersion> history) {
        return history.isEmpty() ? 0 : history.get(0).number();
    }

    private static Optional<RecordedVersion> find(final List<RecordedVersion> history, final Version version) {
        return history.stream()
                .filter(recorded -> recorded.number() == version.number())
                .findFirst();
    }

    private static boolean isRecorded(final List<RecordedVersion> history, final Version version) {
        return find(history, version).isPresent()
                || history.size() >= MIN_HISTORY
                        && history.get(history.size() - 1).number() > version.number();
    }

    /** Whether this version was recorded with a different body. */
    private static boolean conflicts(final List<RecordedVersion> history, final Revision revision) {
        return find(history, revision.version())
                .map(recorded -> !recorded.digest().equals(revision.itemUpdate().digest()))
                .orElse(false);
    }

    /** The verdict on an update, given the chosen items that this node knows. */
    Judgement judge(final ConfigurationUpdate update, final ItemStore items) {
        final ReferenceValidator references = new ReferenceValidator(this, update, items);
        boolean hasNew = false;
        final List<ValidationError> errors = new ArrayList<>();
        for (final Map.Entry<ItemId, ConfigurationUpdate.ItemUpdate> entry :
                update.updates().entrySet()) {
            final ItemId id = entry.getKey();
            final Version version = entry.getValue().version();
            final List<RecordedVersion> history = history(id, items);
            for (final Revision revision : pendingRevisions(update, id, version, history)) {
                if (conflicts(history, revision)) {
                    return new Judgement(UpdateVerdict.CONFLICT, id, highestNumber(history), List.of());
                }
                if (find(history, revision.version()).isEmpty()) {
                    errors.addAll(references.unknownServices(id, revision));
                }
            }
            hasNew |= !isRecorded(history, version);
        }
        final Optional<List<ValidationError>> inUse = references.deletedServicesInUse();
        if (inUse.isEmpty()) {
            return Judgement.of(UpdateVerdict.UNDECIDED);
        }
        errors.addAll(inUse.get());
        if (!errors.isEmpty()) {
            return new Judgement(UpdateVerdict.INVALID_REFERENCE, null, 0, errors);
        }
        return Judgement.of(hasNew ? UpdateVerdict.NEW : UpdateVerdict.TAKEN);
    }

    /**
     * The revisions of an item that have to be checked: none if the highest of them is recorded, since the others were
     * recorded together with it.
     */
    private static Collection<Revision> pendingRevisions(
            final ConfigurationUpdate update,
            final ItemId id,
            final Version highest,
            final List<RecordedVersion> history) {
        final Collection<Revision> revisions = update.revisions(id);
        final boolean recorded = find(history, highest).isPresent()
                && revisions.stream()
                        .filter(revision -> revision.version().equals(highest))
                        .noneMatch(revision -> conflicts(history, revision));
        return recorded ? List.of() : revisions;
    }

    /**
     * The ledger with the update recorded: all its versions, and the changes that take effect among those still to be
     * written.
     */
    UpdateLedger withUpdate(final ConfigurationUpdate update, final ItemStore items) {
        final Map<ItemId, List<RecordedVersion>> histories = new TreeMap<>(taken);
        final Map<ItemId, ConfigurationUpdate.ItemUpdate> effective = new TreeMap<>();
        update.updates().forEach((id, itemUpdate) -> {
            final List<RecordedVersion> history = history(id, items);
            if (itemUpdate.version().number() > highestNumber(history)) {
                effective.put(id, itemUpdate);
            }
            final List<RecordedVersion> unrecorded = update.revisions(id).stream()
                    .filter(revision -> !isRecorded(history, revision.version()))
                    .map(revision -> new RecordedVersion(
                            revision.version().number(), revision.itemUpdate().digest()))
                    .toList();
            if (!unrecorded.isEmpty()) {
                histories.put(
                        id,
                        Stream.concat(history.stream(), unrecorded.stream())
                                .sorted(Comparator.comparingLong(RecordedVersion::number)
                                        .reversed())
                                .toList());
            }
        });
        final List<Map<ItemId, ConfigurationUpdate.ItemUpdate>> nextOpenUpdates = new ArrayList<>(openUpdates);
        if (!effective.isEmpty()) {
            nextOpenUpdates.add(effective);
        }
        trim(histories);
        return new UpdateLedger(histories, nextOpenUpdates);
    }

    private static void trim(final Map<ItemId, List<RecordedVersion>> histories) {
        trimShared(histories);
        int maxPerItem = MIN_HISTORY;
        while (maxPerItem > 1 && furtherVersions(histories, maxPerItem) > MAX_FURTHER_VERSIONS) {
            maxPerItem--;
        }
        if (maxPerItem < MIN_HISTORY) {
            final int kept = maxPerItem;
            histories.replaceAll((id, history) -> history.subList(0, Math.min(kept, history.size())));
        }
    }

    private static long furtherVersions(final Map<ItemId, List<RecordedVersion>> histories, final int maxPerItem) {
        return histories.values().stream()
                .mapToLong(history -> Math.min(maxPerItem, history.size()) - 1L)
                .sum();
    }

    private static void trimShared(final Map<ItemId, List<RecordedVersion>> histories) {
        int excess = histories.values().stream()
                        .mapToInt(history -> Math.max(0, history.size() - MIN_HISTORY))
                        .sum()
                - SHARED_HISTORY;
        for (; excess > 0; excess--) {
            final Map.Entry<ItemId, List<RecordedVersion>> longest = histories.entrySet().stream()
                    .max(Comparator.comparingInt(entry -> entry.getValue().size()))
                    .orElseThrow();
            longest.setValue(longest.getValue().subList(0, longest.getValue().size() - 1));
        }
    }

    /**
     * The ledger without the updates whose items are all known to be chosen, each in the version of the update or a
     * higher one.
     */
    UpdateLedger withoutWritten(final Function<ItemId, Item> chosenItems) {
        final List<Map<ItemId, ConfigurationUpdate.ItemUpdate>> remaining = openUpdates.stream()
                .filter(openUpdate -> openUpdate.entrySet().stream()
                        .anyMatch(entry -> entry.getValue()
                                .version()
                                .isAbove(chosenItems.apply(entry.getKey()).version())))
                .toList();
        return remaining.size() == openUpdates.size() ? this : new UpdateLedger(taken, remaining);
    }

    /**
     * The ledger without the items about which it contains no more than the item itself: a single version, which is the
     * current one and is {@code settled}.
     */
    UpdateLedger withoutSettled(final Function<ItemId, Item> chosenItems, final Predicate<ItemId> settled) {
        final Map<ItemId, List<RecordedVersion>> remaining = new TreeMap<>(taken);
        remaining
                .entrySet()
                .removeIf(entry -> entry.getValue().size() == 1
                        && settled.test(entry.getKey())
                        && entry.getValue().get(0).number()
                                == chosenItems.apply(entry.getKey()).version().number());
        return remaining.size() == taken.size() ? this : new UpdateLedger(remaining, openUpdates);
    }

    /** Whether this value fits into the register. */
    boolean fits() {
        return toJson().getBytes(StandardCharsets.UTF_8).length <= Item.MAX_BYTES - ITEM_OVERHEAD_BYTES;
    }

    /** For each item the highest recorded change that is not yet known to be chosen. */
    Map<ItemId, ConfigurationUpdate.ItemUpdate> unwritten(final Function<ItemId, Item> chosenItems) {
        final Map<ItemId, ConfigurationUpdate.ItemUpdate> unwritten = new TreeMap<>();
        openUpdates.forEach(openUpdate -> openUpdate.forEach((id, itemUpdate) -> {
            if (itemUpdate.version().isAbove(chosenItems.apply(id).version())) {
                unwritten.merge(id, itemUpdate, (a, b) -> a.version().isAbove(b.version()) ? a : b);
            }
        }));
        return unwritten;
    }
}
