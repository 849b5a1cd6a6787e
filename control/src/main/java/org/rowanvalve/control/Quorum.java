package org.rowanvalve.control;

import java.util.List;
import java.util.Set;
import org.rowanvalve.common.NodeId;

/**
 * The voters of one epoch, and which of them are stores; where none is named, every voter has a disk. Answers that were
 * given in different epochs never count together.
 */
public record Quorum(long epoch, List<NodeId> voters, Set<NodeId> stores) {
    public Quorum {
        voters = List.copyOf(voters);
        stores = Set.copyOf(stores);
    }

    /** The founding set. */
    public Quorum(final List<NodeId> voters, final Set<NodeId> stores) {
        this(0, voters, stores);
    }

    public int need() {
        return voters.size() / 2 + 1;
    }

    public boolean read(final Set<NodeId> got) {
        return got.size() >= need();
    }

    public boolean write(final Set<NodeId> got) {
        return got.size() >= need() && (stores.isEmpty() || got.stream().anyMatch(stores::contains));
    }

    public boolean has(final NodeId id) {
        return voters.contains(id);
    }
}
