package org.rowanvalve.data;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.rowanvalve.common.Condition;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.Member;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Role;
import org.rowanvalve.control.Electorate;
import org.rowanvalve.control.Leadership;
import org.rowanvalve.control.Membership;
import org.rowanvalve.control.Voter;
import org.rowanvalve.control.VoterAddress;
import org.rowanvalve.control.VoterSearch;

/** What the present voting set means for a node's links: where heartbeats go, and where the voters are reached. */
final class VoterLinks {
    private static final long QUIET = 1500;
    private final Setup setup;
    private final Electorate electorate;
    private final Membership members;
    private final VoterSearch search;

    VoterLinks(final Setup setup, final Electorate electorate, final Membership members, final VoterSearch search) {
        this.setup = setup;
        this.electorate = electorate;
        this.members = members;
        this.search = search;
    }

    /** Heartbeats go to the present voters, and to the seeds too while none of those answers. */
    List<NodeId> heartbeats() {
        if (!setup.votersMayChange()) {
            return setup.seeds();
        }
        return members.answered()
                ? electorate.voters()
                : Stream.concat(electorate.voters().stream(), search.seeds().stream())
                        .distinct()
                        .toList();
    }

    /** The voters' addresses come with the set that names them. */
    void locate(final Consumer<Member> book) {
        electorate.addresses().stream().map(VoterAddress::parse).forEach(a -> {
            if (members.get(a.id()) == null) {
                book.accept(new Member(a.id(), Role.SHIELD, "", a.host(), a.port(), "", Condition.PARTIAL, ""));
            }
        });
    }

    /** The other shields that are heard of. */
    List<NodeId> peers() {
        return members.live(Role.SHIELD).stream()
                .map(Member::id)
                .filter(n -> !n.equals(setup.self().id()))
                .toList();
    }

    /** The lease authority puts operators' calls in order, so that several at once are one write of the ledger. */
    Optional<NodeId> sequencer(final Item tenure) {
        final Leadership now = Leadership.of(tenure);
        if (now.holder().isEmpty() || now.free()) {
            return Optional.empty();
        }
        final NodeId id = NodeId.of(now.holder());
        return id.equals(setup.self().id()) || members.silence(id) > QUIET ? Optional.empty() : Optional.of(id);
    }

    /** A shield that does not vote is not the lease authority either. */
    boolean mayLead(final Voter voter) {
        return !setup.votersMayChange() || voter.votes();
    }
}
