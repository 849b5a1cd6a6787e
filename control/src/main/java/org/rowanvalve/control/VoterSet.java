package org.rowanvalve.control;

import java.util.List;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.NodeId;

/**
 * The body of the register that names the voters; its version is the epoch. {@code previous} names the set of the epoch
 * before, whose majority each new voter reads before its first vote. All are written {@code ID@IP:PORT}.
 */
public record VoterSet(List<String> voters, List<String> previous) {
    public VoterSet {
        voters = List.copyOf(voters);
        previous = List.copyOf(previous);
    }

    public static VoterSet of(final Item item) {
        return Json.read(item.body(), VoterSet.class);
    }

    public List<NodeId> ids() {
        return ids(voters);
    }

    public List<NodeId> previousIds() {
        return ids(previous);
    }

    static List<NodeId> ids(final List<String> addresses) {
        return addresses.stream().map(a -> VoterAddress.parse(a).id()).toList();
    }
}
