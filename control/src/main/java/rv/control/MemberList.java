package rv.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rv.base.Member;
import rv.base.Msg;
import rv.base.NodeId;

/** All members ever heard of, each at a place that it keeps; changes are numbered, so that others can be told the rest. */
final class MemberList {
    private static final long NEVER = Long.MIN_VALUE / 2;
    private final long lost;
    private final Map<NodeId, Row> rows = new TreeMap<>();
    private final List<Row> order = new ArrayList<>();
    private long last;

    static final class Row {
        private final int at;
        private Member member;
        private long heard = NEVER;
        private long first = NEVER;
        private long change;

        private Row(final int at) {
            this.at = at;
        }

        Member member() {
            return member;
        }

        long heard() {
            return heard;
        }
    }

    MemberList(final long lost) {
        this.lost = lost;
    }

    /** What came of a word about a member: whether it is new or back, and whether its address is. */
    record Noted(boolean seen, boolean moved) {
    }

    /** A word older than the last one changes nothing. */
    Noted note(final Member m, final long heard, final long now) {
        final Row r = rows.computeIfAbsent(m.id(), k -> {
            final Row row = new Row(order.size());
            order.add(row);
            return row;
        });
        if (heard < r.heard) {
            return new Noted(false, false);
        }
        final Member old = r.member;
        if (!m.equals(old) || r.first == NEVER || now - r.heard > lost) {
            r.change = ++last;
        }
        r.member = m;
        r.heard = heard;
        final boolean seen = r.first == NEVER;
        if (seen) {
            r.first = now;
        }
        return new Noted(seen, old == null || !old.host().equals(m.host()) || old.port() != m.port());
    }

    /** Those that have become silent since the last call. */
    List<NodeId> gone(final long now) {
        final List<NodeId> list = new ArrayList<>();
        for (final Row r : order) {
            if (r.first != NEVER && now - r.heard > lost) {
                r.first = NEVER;
                list.add(r.member.id());
            }
        }
        return list;
    }

    boolean live(final Row r, final long now) {
        return r != null && now - r.heard <= lost;
    }

    Row get(final NodeId id) {
        return rows.get(id);
    }

    long age(final NodeId id, final long now) {
        final Row r = rows.get(id);
        return r == null || r.first == NEVER ? 0 : now - r.first;
    }

    /** By id. */
    Collection<Row> all() {
        return rows.values();
    }

    long last() {
        return last;
    }

    /** Live members that changed after {@code since}; one that is lost now counts as changed when it is back. */
    List<Msg.Listed> since(final long since, final long now) {
        final List<Msg.Listed> list = new ArrayList<>();
        if (since < last) {
            for (final Row r : order) {
                if (r.change > since && live(r, now)) {
                    list.add(new Msg.Listed(r.at, r.member));
                }
            }
        }
        return list;
    }

    byte[] silences(final long now) {
        final byte[] all = new byte[order.size()];
        for (int i = 0; i < all.length; i++) {
            final long ms = Math.max(0, now - order.get(i).heard);
            all[i] = (byte) (ms > lost ? Msg.Beaten.LOST : Math.min(Msg.Beaten.LOST, (ms + Msg.Beaten.UNIT - 1) / Msg.Beaten.UNIT));
        }
        return all;
    }
}
