package org.rowanvalve.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.common.Hash;
import org.rowanvalve.common.Msg;

/**
 * The records of keyed requests that one keeper holds, by shard and by cell. Each cell has a sum over its records, so
 * that two keepers find where they differ without telling each other all.
 */
final class KeyRecordTable {
    static final int CELLS = 1024;
    /** Small enough not to keep other frames of the same circuit waiting. */
    static final int PAGE_BYTES = 48 << 10;

    static final int LIGHT_PAGE_BYTES = 24 << 10;
    private static final int NOTE_BYTES = 210;
    private static final int OUTCOME_BYTES = 40;
    private final Map<String, Row> rows = new HashMap<>();
    private final Map<Integer, TreeMap<String, Row>> shards = new HashMap<>();
    private final Map<Integer, TreeMap<String, Row>> cells = new HashMap<>();
    private final long[] sums = new long[CELLS];

    /** {@code at}: when it was written, by the wall clock; {@code stay}: for how long it stands from then on. */
    record Row(Msg.Note note, long at, long stay) {
        boolean over(final long now, final long least) {
            return now - at > Math.max(stay, least);
        }
    }

    /** {@code next}: the last key of the page, or none where it is the last page. */
    record Page(List<Row> rows, String next) {}

    static int cell(final String key) {
        return (int) (Hash.mix(key) >>> 20) & CELLS - 1;
    }

    /** What of a record is compared between keepers: all but the body, which its key and turn determine. */
    static long mix(final Msg.Note n) {
        return Hash.mix(n.key() + '\n' + n.token() + '\n' + n.turn() + '\n' + n.clear() + '\n' + (n.outcome() != null));
    }

    static long sumOf(final Collection<Msg.AgedNote> notes) {
        return notes.stream().mapToLong(n -> mix(n.note())).reduce(0, (a, b) -> a ^ b);
    }

    /** Whether a page holds what its sender put into it. */
    static boolean sound(final Msg.KeptCells page) {
        return page.sum() == sumOf(page.notes());
    }

    Row get(final String key) {
        return rows.get(key);
    }

    Collection<Row> all() {
        return rows.values();
    }

    int size() {
        return rows.size();
    }

    void put(final Row row) {
        remove(row.note().key());
        final String key = row.note().key();
        rows.put(key, row);
        shards.computeIfAbsent(row.note().shard(), s -> new TreeMap<>()).put(key, row);
        cells.computeIfAbsent(cell(key), c -> new TreeMap<>()).put(key, row);
        sums[cell(key)] ^= mix(row.note());
    }

    void remove(final String key) {
        final Row old = rows.remove(key);
        if (old != null) {
            drop(shards, old.note().shard(), key);
            drop(cells, cell(key), key);
            sums[cell(key)] ^= mix(old.note());
        }
    }

    private static void drop(final Map<Integer, TreeMap<String, Row>> index, final int at, final String key) {
        index.computeIfPresent(at, (k, map) -> map.remove(key) != null && map.isEmpty() ? null : map);
    }

    List<Long> sums() {
        final List<Long> list = new ArrayList<>(CELLS);
        for (final long s : sums) {
            list.add(s);
        }
        return list;
    }

    /** The cells in which another keeper's sums differ from these. */
    List<Integer> differing(final List<Long> other) {
        final List<Integer> list = new ArrayList<>();
        for (int c = 0; c < CELLS; c++) {
            if (other.size() != CELLS || sums[c] != other.get(c)) {
                list.add(c);
            }
        }
        return list;
    }

    /** Records of a shard without their bodies, from behind the key {@code after}, or from the first. */
    Page light(final int shard, final String after, final int bytes) {
        final List<Row> list = new ArrayList<>();
        int size = 0;
        for (final Row row : behind(shards.get(shard), after)) {
            if (size >= bytes) {
                return page(list);
            }
            list.add(row);
            size += NOTE_BYTES + row.note().key().length();
        }
        return new Page(list, null);
    }

    /** Records of the cells with their bodies; {@code after} concerns the first of the cells. */
    Page whole(final List<Integer> wanted, final String after) {
        final List<Row> list = new ArrayList<>();
        int size = 0;
        String from = after;
        for (final int c : wanted) {
            for (final Row row : behind(cells.get(c), from)) {
                final int more = bytes(row.note());
                if (!list.isEmpty() && size + more > PAGE_BYTES) {
                    return page(list);
                }
                list.add(row);
                size += more;
            }
            from = null;
        }
        return new Page(list, null);
    }

    private static int bytes(final Msg.Note n) {
        return NOTE_BYTES + n.key().length() + (n.outcome() == null ? 0 : bytes(n.outcome()));
    }

    private static int bytes(final Msg.Outcome o) {
        return OUTCOME_BYTES
                + o.body().length
                + o.heads().entrySet().stream()
                        .mapToInt(h -> 4 + h.getKey().length() + h.getValue().length())
                        .sum();
    }

    private static Collection<Row> behind(final TreeMap<String, Row> map, final String after) {
        return map == null
                ? List.of()
                : after == null ? map.values() : map.tailMap(after, false).values();
    }

    private static Page page(final List<Row> list) {
        return new Page(list, list.get(list.size() - 1).note().key());
    }
}
