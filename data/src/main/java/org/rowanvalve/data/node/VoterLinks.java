package org.rowanvalve.data.node;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.Member;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.NodeStatus;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.control.consensus.Acceptor;
import org.rowanvalve.control.election.Leadership;
import org.rowanvalve.control.membership.Membership;
import org.rowanvalve.control.voting.VoterAddress;
import org.rowanvalve.control.voting.VotingConfiguration;
import org.rowanvalve.control.voting.VotingSetSearch;
import org.rowanvalve.data.settings.NodeSettings;

/**
 * What the present voting set means for a node's connections: where heartbeats go, and where the voters are reached.
 */
final class VoterLinks {
    private static final long MAX_SILENCE_MS = 1500;
    private final NodeSettings settings;
    private final VotingConfiguration votingConfiguration;
    private final Membership membership;
    private final VotingSetSearch votingSetSearch;

    VoterLinks(
            final NodeSettings settings,
            final VotingConfiguration votingConfiguration,
            final Membership membership,
            final VotingSetSearch votingSetSearch) {
        this.settings = settings;
        this.votingConfiguration = votingConfiguration;
        this.membership = membership;
        this.votingSetSearch = votingSetSearch;
    }

    /** Heartbeats go to the present voters, and to the seeds too while none of those answers. */
    List<NodeId> heartbeatTargets() {
        if (!settings.votersMayChange()) {
            return settings.seeds();
        }
        return membership.hasVoterContact()
                ? votingConfiguration.voters()
                : Stream.concat(votingConfiguration.voters().stream(), votingSetSearch.seeds().stream())
                        .distinct()
                        .toList();
    }

    /** The voters' addresses come with the set that names them. */
    void updateAddresses(final Consumer<Member> addressBook) {
        votingConfiguration.addresses().stream().map(VoterAddress::parse).forEach(address -> {
            if (membership.get(address.id()) == null) {
                addressBook.accept(new Member(
                        address.id(), Role.SHIELD, "", address.host(), address.port(), "", NodeStatus.PARTIAL, ""));
            }
        });
    }

    /** The other shields that are heard from. */
    List<NodeId> otherShields() {
        return membership.liveMembers(Role.SHIELD).stream()
                .map(Member::id)
                .filter(shield -> !shield.equals(settings.self().id()))
                .toList();
    }

    /** The leader sequences operators' updates, so that several at once are one write of the ledger. */
    Optional<NodeId> updateSequencer(final Item leadershipItem) {
        final Leadership current = Leadership.of(leadershipItem);
        if (current.leader().isEmpty() || current.released()) {
            return Optional.empty();
        }
        final NodeId id = NodeId.of(current.leader());
        return id.equals(settings.self().id()) || membership.silenceMs(id) > MAX_SILENCE_MS
                ? Optional.empty()
                : Optional.of(id);
    }

    /** A shield that does not vote is not the leader either. */
    boolean mayLead(final Acceptor acceptor) {
        return !settings.votersMayChange() || acceptor.isVoting();
    }
}
