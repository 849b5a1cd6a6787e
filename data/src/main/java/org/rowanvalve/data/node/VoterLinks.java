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
 * Derives a node's connections from the current voting set: the targets of heartbeats, the addresses of the voters, and
 * the node that sequences updates.
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

    /** Returns the current voters, and also the seeds while no voter responds. */
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

    /** Adds the addresses that the voting set states for its voters, except for voters that are already known members. */
    void updateAddresses(final Consumer<Member> addressBook) {
        votingConfiguration.addresses().stream().map(VoterAddress::parse).forEach(address -> {
            if (membership.get(address.id()) == null) {
                addressBook.accept(new Member(
                        address.id(), Role.SHIELD, "", address.host(), address.port(), "", NodeStatus.PARTIAL, ""));
            }
        });
    }

    /** Returns the other live shields. */
    List<NodeId> otherShields() {
        return membership.liveMembers(Role.SHIELD).stream()
                .map(Member::id)
                .filter(shield -> !shield.equals(settings.self().id()))
                .toList();
    }

    /**
     * Returns the leader, which sequences operators' updates so that several concurrent updates become one write of the
     * ledger. Empty if this node is the leader, or no leader is known to be alive.
     */
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

    /** If voters may change, only a node that currently votes may lead. */
    boolean mayLead(final Acceptor acceptor) {
        return !settings.votersMayChange() || acceptor.isVoting();
    }
}
