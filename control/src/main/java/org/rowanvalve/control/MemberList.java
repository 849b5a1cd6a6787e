package org.rowanvalve.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.common.Member;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Role;

/**
 * All members ever heard of, each at a place that it keeps; changes are numbered, so that others can be told the rest.
 * Edges have places below zero: nobody relies on their silence, so it is told only where it is long.
 */
final class MemberList {
    private static final long NEVER = Long.MIN_VALUE / 2;
    private final long lost;
    private final Map<NodeId, Row> rows = new TreeMap<>();
    private final List<Row> near = new ArrayList<>();
    private final List<Row> edges = new ArrayList<>();
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

        private boolean gone() {
            return first == NEVER;
        }
    }

    MemberList(final long lost) {
        this.lost = lost;
    }

    /** What came of a word about a member: whether it is new or back, and whether its address is. */
    record Noted(boolean seen, boolean moved) {}

    private Row place(final Role role) {
        final List<Row> list = role == Role.EDGE ? edges : near;
        final Row row = new Row(role == Role.EDGE ? -1 - list.size() : list.size());
        list.add(row);
        return row;
    }

    /** A word older than the last one changes nothing. */
    Noted note(final Member m, final long heard, final long now) {
        final Row r = rows.computeIfAbsent(m.id(), k -> place(m.role()));
        if (heard < r.heard) {
            return new Noted(false, false);
        }
        final Member old = r.member;
        if (!m.equals(old) || r.gone() || now - r.heard > lost) {
            r.change = ++last;
        }
        r.member = m;
        r.heard = heard;
        final boolean seen = r.gone();
        if (seen) {
            r.first = now;
        }
        return new Noted(seen, old == null || !old.host().equals(m.host()) || old.port() != m.port());
    }

    void alive(final NodeId id, final long now) {
        final Row r = rows.get(id);
        if (r != null && r.heard < now) {
            r.change = now - r.heard > lost ? ++last : r.change;
            r.heard = now;
        }
    }

    /** Those that have become silent since the last call. */
    List<NodeId> gone(final long now) {
        final List<NodeId> list = new ArrayList<>();
        for (final Row r : rows.values()) {
            if (!r.gone() && now - r.heard > lost) {
                r.first = NEVER;
                r.change = ++last;
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
        return r == null || r.gone() ? 0 : now - r.first;
    }

    /** By id. */
    Collection<Row> all() {
        return rows.values();
    }

    long last() {
        return last;
    }

    /** What changed after {@code since}; one that is lost but not gone yet counts as changed once it is back or gone. */
    List<Msg.Listed> since(final long since, final long now) {
        final List<Msg.Listed> list = new ArrayList<>();
        if (since < last) {
            for (final Row r : rows.values()) {
                if (r.change > since && (live(r, now) || r.gone() && since > 0)) {
                    list.add(new Msg.Listed(r.at, live(r, now) ? r.member : null));
                }
            }
        }
        return list;
    }

    private int units(final Row r, final long now) {
        final long ms = Math.max(0, now - r.heard);
        return ms > lost
                ? Msg.Beaten.LOST
                : (int) Math.min(Msg.Beaten.LOST, (ms + Msg.Beaten.UNIT - 1) / Msg.Beaten.UNIT);
    }

    /** Of all but edges, by place. */
    byte[] silences(final long now) {
        final byte[] all = new byte[near.size()];
        for (int i = 0; i < all.length; i++) {
            all[i] = (byte) units(near.get(i), now);
        }
        return all;
    }

    /** Edges that are not gone and have been silent for longer than {@link Msg.Beaten#CALM}. */
    List<Msg.Late> late(final long now) {
        return edges.stream()
                .filter(r -> (live(r, now) || !r.gone()) && now - r.heard > Msg.Beaten.CALM)
                .map(r -> new Msg.Late(r.at, units(r, now)))
                .toList();
    }
}
