package org.rowanvalve.data;

import java.util.Comparator;
import java.util.List;
import org.rowanvalve.common.Condition;
import org.rowanvalve.common.Member;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Role;
import org.rowanvalve.control.Electorate;
import org.rowanvalve.control.Membership;

/** Where an edge's requests may go, by what its node has heard of the others. */
final class NodeRouting implements EdgeRouting {
    private static final long QUIET = 1500;
    private final Setup setup;
    private final Membership members;
    private final Electorate electorate;
    private final Sender direct;

    NodeRouting(final Setup setup, final Membership members, final Electorate electorate, final Sender direct) {
        this.setup = setup;
        this.members = members;
        this.electorate = electorate;
        this.direct = direct;
    }

    @Override
    public int places() {
        return setup.places().size();
    }

    @Override
    public int place() {
        return setup.place();
    }

    @Override
    public Sender direct() {
        return direct;
    }

    /** Shields that are heard of: of the same zone first, then of the same region. */
    @Override
    public List<NodeId> near() {
        final String cell = setup.self().cell();
        final String region = cell.substring(0, cell.lastIndexOf('/') + 1);
        final int turn = setup.self().id().hashCode();
        return members.live(Role.SHIELD).stream()
                .filter(m -> m.condition() != Condition.LEAVING && members.silence(m.id()) <= QUIET)
                .sorted(Comparator.comparingInt((Member m) ->
                                m.cell().equals(cell) ? 0 : m.cell().startsWith(region) ? 1 : 2)
                        .thenComparingInt(m -> (m.id().hashCode() ^ turn) & 0xffff))
                .map(Member::id)
                .toList();
    }

    @Override
    public boolean heard(final NodeId id) {
        return members.silence(id) <= QUIET;
    }

    @Override
    public long silent(final NodeId id) {
        return members.silence(id);
    }

    @Override
    public boolean alone() {
        return alone(setup, members, electorate);
    }

    /** Too few voters are heard from to learn anything new. */
    static boolean alone(final Setup setup, final Membership members, final Electorate electorate) {
        return electorate.voters().stream()
                        .filter(v -> v.equals(setup.self().id()) || members.silence(v) <= QUIET)
                        .count()
                < electorate.quorum().need();
    }
}
