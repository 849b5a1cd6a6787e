package org.rowanvalve.control.voting;

import java.util.List;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.control.json.Json;

/**
 * The body of the register that names the voters; its version is the epoch. {@code previous} names the set of the epoch
 * before, whose majority each new voter reads before its first vote. All are written {@code ID@IP:PORT}.
 */
public record VotingSet(List<String> voters, List<String> previous) {
    public VotingSet {
        voters = List.copyOf(voters);
        previous = List.copyOf(previous);
    }

    /** The voting set of the register's value. */
    public static VotingSet of(final Item item) {
        return Json.read(item.body(), VotingSet.class);
    }

    public List<NodeId> voterIds() {
        return voterIds(voters);
    }

    public List<NodeId> previousVoterIds() {
        return voterIds(previous);
    }

    static List<NodeId> voterIds(final List<String> addresses) {
        return addresses.stream().map(a -> VoterAddress.parse(a).id()).toList();
    }
}
