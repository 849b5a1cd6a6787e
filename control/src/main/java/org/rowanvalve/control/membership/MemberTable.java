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
 * All members ever heard from, each at a fixed position. Changes are numbered, so that another node can request those
 * that it has not seen. Edges have negative positions: nothing depends on the exact silence of an edge, so only long
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

    /**
     * The effect of a report about a member: whether the member is new or has returned, and whether its address
     * changed.
     */
    record RecordResult(boolean appeared, boolean addressChanged) {}

    private Row addRow(final Role role) {
        final List<Row> list = role == Role.EDGE ? edgeRows : coreRows;
        final Row row = new Row(role == Role.EDGE ? -1 - list.size() : list.size());
        list.add(row);
        return row;
    }

    /** Records when a member was heard from. A report older than the last one of this member is ignored. */
    RecordResult record(final Member member, final long heardAt, final long now) {
        final Row row = rows.computeIfAbsent(member.id(), k -> addRow(member.role()));
        if (heardAt < row.heardAt) {
            return new RecordResult(false, false);
        }
        final Member previous = row.member;
        if (!member.equals(previous) || row.isGone() || now - row.heardAt > failureTimeoutMs) {
            row.changeNumber = ++lastChange;
        }
        row.member = member;
        row.heardAt = heardAt;
        final boolean appeared = row.isGone();
        if (appeared) {
            row.aliveSince = now;
        }
        return new RecordResult(
                appeared,
                previous == null || !previous.host().equals(member.host()) || previous.port() != member.port());
    }

    void recordContact(final NodeId id, final long now) {
        final Row row = rows.get(id);
        if (row != null && row.heardAt < now) {
            row.changeNumber = now - row.heardAt > failureTimeoutMs ? ++lastChange : row.changeNumber;
            row.heardAt = now;
        }
    }

    /** Marks the members whose failure time-out has passed as gone, and returns those that were not gone before. */
    List<NodeId> collectLost(final long now) {
        final List<NodeId> lost = new ArrayList<>();
        for (final Row row : rows.values()) {
            if (!row.isGone() && now - row.heardAt > failureTimeoutMs) {
                row.aliveSince = NEVER;
                row.changeNumber = ++lastChange;
                lost.add(row.member.id());
            }
        }
        return lost;
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

    /** Returns all members in the order of their ids. */
    Collection<Row> all() {
        return rows.values();
    }

    long lastChange() {
        return lastChange;
    }

    /**
     * Returns the changes after the change number {@code since}. A silent member that is not marked as gone yet is left
     * out; it is returned once it was heard from again or is marked as gone.
     */
    List<MembershipChange> changesSince(final long since, final long now) {
        final List<MembershipChange> changes = new ArrayList<>();
        if (since < lastChange) {
            for (final Row row : rows.values()) {
                if (row.changeNumber > since && (isAlive(row, now) || row.isGone() && since > 0)) {
                    changes.add(new MembershipChange(row.position, isAlive(row, now) ? row.member : null));
                }
            }
        }
        return changes;
    }

    private int silenceUnits(final Row row, final long now) {
        final long silenceMs = Math.max(0, now - row.heardAt);
        return silenceMs > failureTimeoutMs
                ? HeartbeatResponse.LOST_UNITS
                : (int) Math.min(
                        HeartbeatResponse.LOST_UNITS,
                        (silenceMs + HeartbeatResponse.SILENCE_UNIT_MS - 1) / HeartbeatResponse.SILENCE_UNIT_MS);
    }

    /** Returns the silence of each member that is not an edge, indexed by position. */
    byte[] coreSilences(final long now) {
        final byte[] silences = new byte[coreRows.size()];
        for (int i = 0; i < silences.length; i++) {
            silences[i] = (byte) silenceUnits(coreRows.get(i), now);
        }
        return silences;
    }

    /**
     * Returns the edges that are not gone and were silent for longer than {@link
     * HeartbeatResponse#DEFAULT_EDGE_SILENCE_MS}.
     */
    List<EdgeSilence> edgeSilences(final long now) {
        return edgeRows.stream()
                .filter(row -> (isAlive(row, now) || !row.isGone())
                        && now - row.heardAt > HeartbeatResponse.DEFAULT_EDGE_SILENCE_MS)
                .map(row -> new EdgeSilence(row.position, silenceUnits(row, now)))
                .toList();
    }
}
