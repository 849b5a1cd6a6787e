package org.rowanvalve.control.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.common.message.EdgeSilence;
import org.rowanvalve.common.message.HeartbeatResponse;
import org.rowanvalve.common.message.MembershipChange;
import org.rowanvalve.common.model.Member;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.Role;

/**
 * All members ever heard from, each at a place that it keeps. Changes are numbered, so that another node can ask for
 * those it has not seen. Edges have places below zero: nothing depends on how long they have been silent, so only long
 * silences of edges are reported.
 */
final class MemberTable {
    private static final long NEVER = Long.MIN_VALUE / 2;
    private final long failureTimeoutMs;
    private final Map<NodeId, Row> rows = new TreeMap<>();
    private final List<Row> coreRows = new ArrayList<>();
    private final List<Row> edgeRows = new ArrayList<>();
    private long lastChange;

    static final class Row {
        private final int position;
        private Member member;
        private long heardAt = NEVER;
        private long aliveSince = NEVER;
        private long changeNumber;

        private Row(final int position) {
            this.position = position;
        }

        Member member() {
            return member;
        }

        long heardAt() {
            return heardAt;
        }

        private boolean isGone() {
            return aliveSince == NEVER;
        }
    }

    MemberTable(final long failureTimeoutMs) {
        this.failureTimeoutMs = failureTimeoutMs;
    }

    /** What a report about a member changed: whether the member is new or back, and whether its address is new. */
    record Noted(boolean appeared, boolean addressChanged) {}

    private Row addRow(final Role role) {
        final List<Row> list = role == Role.EDGE ? edgeRows : coreRows;
        final Row row = new Row(role == Role.EDGE ? -1 - list.size() : list.size());
        list.add(row);
        return row;
    }

    /** A report older than the last one changes nothing. */
    Noted record(final Member member, final long heard, final long now) {
        final Row row = rows.computeIfAbsent(member.id(), k -> addRow(member.role()));
        if (heard < row.heardAt) {
            return new Noted(false, false);
        }
        final Member previous = row.member;
        if (!member.equals(previous) || row.isGone() || now - row.heardAt > failureTimeoutMs) {
            row.changeNumber = ++lastChange;
        }
        row.member = member;
        row.heardAt = heard;
        final boolean seen = row.isGone();
        if (seen) {
            row.aliveSince = now;
        }
        return new Noted(
                seen, previous == null || !previous.host().equals(member.host()) || previous.port() != member.port());
    }

    void recordContact(final NodeId id, final long now) {
        final Row row = rows.get(id);
        if (row != null && row.heardAt < now) {
            row.changeNumber = now - row.heardAt > failureTimeoutMs ? ++lastChange : row.changeNumber;
            row.heardAt = now;
        }
    }

    /** Those that have become silent since the last call. */
    List<NodeId> collectLost(final long now) {
        final List<NodeId> list = new ArrayList<>();
        for (final Row row : rows.values()) {
            if (!row.isGone() && now - row.heardAt > failureTimeoutMs) {
                row.aliveSince = NEVER;
                row.changeNumber = ++lastChange;
                list.add(row.member.id());
            }
        }
        return list;
    }

    boolean isAlive(final Row row, final long now) {
        return row != null && now - row.heardAt <= failureTimeoutMs;
    }

    Row get(final NodeId id) {
        return rows.get(id);
    }

    long knownForMs(final NodeId id, final long now) {
        final Row row = rows.get(id);
        return row == null || row.isGone() ? 0 : now - row.aliveSince;
    }

    /** All members, by id. */
    Collection<Row> all() {
        return rows.values();
    }

    long lastChange() {
        return lastChange;
    }

    /** What changed after {@code since}; one that is lost but not gone yet counts as changed once it is back or gone. */
    List<MembershipChange> changesSince(final long since, final long now) {
        final List<MembershipChange> list = new ArrayList<>();
        if (since < lastChange) {
            for (final Row row : rows.values()) {
                if (row.changeNumber > since && (isAlive(row, now) || row.isGone() && since > 0)) {
                    list.add(new MembershipChange(row.position, isAlive(row, now) ? row.member : null));
                }
            }
        }
        return list;
    }

    private int silenceUnits(final Row row, final long now) {
        final long ms = Math.max(0, now - row.heardAt);
        return ms > failureTimeoutMs
                ? HeartbeatResponse.LOST_UNITS
                : (int) Math.min(
                        HeartbeatResponse.LOST_UNITS,
                        (ms + HeartbeatResponse.SILENCE_UNIT_MS - 1) / HeartbeatResponse.SILENCE_UNIT_MS);
    }

    /** The silence of all members but edges, by place. */
    byte[] coreSilences(final long now) {
        final byte[] all = new byte[coreRows.size()];
        for (int i = 0; i < all.length; i++) {
            all[i] = (byte) silenceUnits(coreRows.get(i), now);
        }
        return all;
    }

    /** Edges that are not gone and have been silent for longer than {@link HeartbeatResponse#DEFAULT_EDGE_SILENCE_MS}. */
    List<EdgeSilence> edgeSilences(final long now) {
        return edgeRows.stream()
                .filter(row -> (isAlive(row, now) || !row.isGone())
                        && now - row.heardAt > HeartbeatResponse.DEFAULT_EDGE_SILENCE_MS)
                .map(row -> new EdgeSilence(row.position, silenceUnits(row, now)))
                .toList();
    }
}
