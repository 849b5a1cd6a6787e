package rv.control;

import java.util.List;
import java.util.Set;
import rv.base.NodeId;

/** Who votes, and which of them are stores; where none is named, every elector has a disk. */
public record Quorum(List<NodeId> electors, Set<NodeId> stores) {
    public Quorum {
        electors = List.copyOf(electors);
        stores = Set.copyOf(stores);
    }

    public int need() {
        return electors.size() / 2 + 1;
    }

    public boolean read(final Set<NodeId> got) {
        return got.size() >= need();
    }

    public boolean write(final Set<NodeId> got) {
        return got.size() >= need() && (stores.isEmpty() || got.stream().anyMatch(stores::contains));
    }

    public boolean has(final NodeId id) {
        return electors.contains(id);
    }
}
