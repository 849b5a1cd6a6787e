package rv.data;

import java.util.List;
import java.util.Set;
import rv.base.Member;
import rv.base.NodeId;
import rv.base.Role;
import rv.base.Timing;
import rv.control.Quorum;

/** What a process is told about its place. */
public record Setup(Member self, List<NodeId> seeds, Quorum quorum, Timing timing, int shards, long cacheBytes) {

    public boolean elector() {
        return quorum.has(self.id());
    }

    public boolean is(final Role role) {
        return self.role() == role;
    }

    public static Builder of(final Member self) {
        return new Builder(self);
    }

    public static final class Builder {
        private final Member self;
        private List<NodeId> seeds = List.of();
        private Quorum quorum = new Quorum(List.of(), Set.of());
        private Timing timing = Timing.DEFAULT;
        private int shards = 32;
        private long cacheBytes = 16L << 20;

        private Builder(final Member self) {
            this.self = self;
        }

        public Builder seeds(final List<NodeId> list) {
            seeds = List.copyOf(list);
            return this;
        }

        public Builder quorum(final Quorum q) {
            quorum = q;
            return this;
        }

        public Builder timing(final Timing t) {
            timing = t;
            return this;
        }

        public Builder shards(final int n) {
            shards = n;
            return this;
        }

        public Builder cacheBytes(final long n) {
            cacheBytes = n;
            return this;
        }

        public Setup build() {
            return new Setup(self, seeds, quorum, timing, shards, cacheBytes);
        }
    }
}
