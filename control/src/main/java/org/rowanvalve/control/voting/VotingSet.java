package org.rowanvalve.control.voting;

import java.util.List;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.control.json.Json;

/**
 * The body of the register that contains the voting set; the version of the register is the epoch. {@code previous} is
 * the voting set of the preceding epoch: a voter reads a majority of it before it votes in the new epoch. Voters are
 * written as {@code ID@IP:PORT}.
 */
public record VotingSet(List<String> voters, List<String> previous) {
    public VotingSet {
        voters = List.copyOf(voters);
        previous = List.copyOf(previous);
    }

    /** Parses the voting set from the value of the register. */
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
        return addresses.stream()
                .map(address -> VoterAddress.parse(address).id())
                .toList();
    }
}
