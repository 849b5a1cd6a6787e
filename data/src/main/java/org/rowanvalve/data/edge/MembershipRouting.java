package org.rowanvalve.data.edge;

import java.util.Comparator;
import java.util.List;
import org.rowanvalve.common.model.Member;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.NodeStatus;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.control.membership.Membership;
import org.rowanvalve.control.voting.VotingConfiguration;
import org.rowanvalve.data.origin.OriginDispatcher;
import org.rowanvalve.data.settings.NodeSettings;

/** Edge routing derived from the membership view of the node. */
public final class MembershipRouting implements EdgeRouting {
    /** The time without a message after which a node counts as unreachable. */
    private static final long MAX_SILENCE_MS = 1500;

    private final NodeSettings settings;
    private final Membership membership;
    private final VotingConfiguration votingConfiguration;
    private final OriginDispatcher direct;

    public MembershipRouting(
            final NodeSettings settings,
            final Membership membership,
            final VotingConfiguration votingConfiguration,
            final OriginDispatcher direct) {
        this.settings = settings;
        this.membership = membership;
        this.votingConfiguration = votingConfiguration;
        this.direct = direct;
    }

    @Override
    public int regionCount() {
        return settings.regions().size();
    }

    @Override
    public int region() {
        return settings.region();
    }

    @Override
    public OriginDispatcher directDispatcher() {
        return direct;
    }

    /**
     * The reachable shields: first those of the same zone, then those of the same region. Shields at the same distance are
     * ordered by a hash that differs between edges, which spreads the load.
     */
    @Override
    public List<NodeId> nearestShields() {
        final String location = settings.self().location();
        final String region = location.substring(0, location.lastIndexOf('/') + 1);
        final int edgeHash = settings.self().id().hashCode();
        return membership.liveMembers(Role.SHIELD).stream()
                .filter(member ->
                        member.status() != NodeStatus.DRAINING && membership.silenceMs(member.id()) <= MAX_SILENCE_MS)
                .sorted(Comparator.comparingInt(
                                (Member member) -> member.location().equals(location)
                                        ? 0
                                        : member.location().startsWith(region) ? 1 : 2)
                        .thenComparingInt(member -> (member.id().hashCode() ^ edgeHash) & 0xffff))
                .map(Member::id)
                .toList();
    }

    @Override
    public boolean isHeard(final NodeId id) {
        return membership.silenceMs(id) <= MAX_SILENCE_MS;
    }

    @Override
    public long silenceMs(final NodeId id) {
        return membership.silenceMs(id);
    }

    @Override
    public boolean supportsCancel(final NodeId id) {
        final Member shield = membership.get(id);
        return shield != null && shield.supports(Member.CANCEL_VERSION);
    }

    @Override
    public boolean isWithoutQuorum() {
        return lacksQuorum(settings, membership, votingConfiguration);
    }

    /** Whether messages arrive from too few voters for a majority, so that this node cannot learn of new decisions. */
    public static boolean lacksQuorum(
            final NodeSettings settings, final Membership membership, final VotingConfiguration votingConfiguration) {
        return votingConfiguration.voters().stream()
                        .filter(voter ->
                                voter.equals(settings.self().id()) || membership.silenceMs(voter) <= MAX_SILENCE_MS)
                        .count()
                < votingConfiguration.quorum().majority();
    }
}
