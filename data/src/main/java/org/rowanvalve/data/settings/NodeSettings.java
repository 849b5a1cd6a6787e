package org.rowanvalve.data.settings;

import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.model.LeaseTimings;
import org.rowanvalve.common.model.Member;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.control.operator.UpdateLimits;
import org.rowanvalve.control.placement.Regions;
import org.rowanvalve.control.record.RecordRetention;
import org.rowanvalve.control.voting.Quorum;

/** The settings of a node. Those in {@code reloadable} may change while the node runs. */
public record NodeSettings(
        Member self,
        List<NodeId> seeds,
        Quorum quorum,
        int shards,
        long cacheBytes,
        boolean firstBoot,
        List<String> foundingVoters,
        AtomicReference<ReloadableSettings> reloadable,
        ChosenItem votingSet,
        long keyWindowMs,
        UpdateLimits updateLimits)
        implements Regions {

    public LeaseTimings timings() {
        return reloadable.get().timings();
    }

    public double retryRatio() {
        return reloadable.get().retryRatio();
    }

    public double retrySlack() {
        return reloadable.get().retrySlack();
    }

    public long drainNoticeMs() {
        return reloadable.get().drainNoticeMs();
    }

    public List<String> regions() {
        return reloadable.get().regions();
    }

    public boolean isFoundingVoter() {
        return quorum.contains(self.id());
    }

    /** Whether the voting set may change by consensus. If stores are configured as voters, the voting set is fixed. */
    public boolean votersMayChange() {
        return quorum.stores().isEmpty();
    }

    /** Whether this node may vote. If the voting set may change, every shield has a disk and may become a voter. */
    public boolean mayVote() {
        return isFoundingVoter() || votersMayChange() && hasRole(Role.SHIELD);
    }

    /**
     * Whether this node may lead. Stores may lead; if no store is configured as a voter, every voter has a disk and may lead.
     */
    public boolean isLeaderEligible() {
        return hasRole(Role.STORE) || votersMayChange() && mayVote();
    }

    /** The index of a cell's region; 0 if the cell is in none of the regions. */
    @Override
    public int indexOf(final String cell) {
        final List<String> regions = regions();
        for (int i = 0; i < regions.size(); i++) {
            if (cell.startsWith(regions.get(i))) {
                return i;
            }
        }
        return 0;
    }

    @Override
    public int count() {
        return regions().size();
    }

    public int region() {
        return indexOf(self.location());
    }

    public boolean hasRole(final Role role) {
        return self.role() == role;
    }

    public static Builder builderFor(final Member self) {
        return new Builder(self);
    }

    public static final class Builder {
        private final Member self;
        private List<NodeId> seeds = List.of();
        private Quorum quorum = new Quorum(List.of(), Set.of());
        private LeaseTimings timings = LeaseTimings.DEFAULT;
        private int shards = 32;
        private long cacheBytes = 16L << 20;
        private boolean firstBoot = true;
        private double retryRatio = 0.2;
        private double retrySlack = 60;
        private List<String> foundingVoters = List.of();
        private long drainNoticeMs = 1000;
        private List<String> regions = List.of("");
        private int toleratedLosses;
        private ChosenItem votingSet;
        private long keyWindowMs = RecordRetention.DEFAULT_WINDOW_MS;
        private UpdateLimits updateLimits = UpdateLimits.DEFAULTS;

        private Builder(final Member self) {
            this.self = self;
        }

        public Builder seeds(final List<NodeId> values) {
            seeds = List.copyOf(values);
            return this;
        }

        public Builder quorum(final Quorum founding) {
            quorum = founding;
            return this;
        }

        public Builder timings(final LeaseTimings leaseTimings) {
            timings = leaseTimings;
            return this;
        }

        public Builder shards(final int value) {
            shards = value;
            return this;
        }

        public Builder cacheBytes(final long value) {
            cacheBytes = value;
            return this;
        }

        /**
         * Whether the network may be bootstrapped now. False if the network is known to have been bootstrapped before: a voter
         * that has lost its stored state then does not bootstrap it again.
         */
        public Builder firstBoot(final boolean value) {
            firstBoot = value;
            return this;
        }

        /** The founding voters with their addresses, {@code ID@IP:PORT}, for nodes that do not know the voters yet. */
        public Builder foundingVoters(final List<String> values) {
            foundingVoters = List.copyOf(values);
            return this;
        }

        /** How long a draining edge still accepts requests, so that load balancers can switch to other edges. */
        public Builder drainNoticeMs(final long milliseconds) {
            drainNoticeMs = milliseconds;
            return this;
        }

        /** Cells, or prefixes of cells, for which objects are filled separately. Must be the same on all nodes. */
        public Builder regions(final List<String> values) {
            regions = values;
            return this;
        }

        /** How many voters may fail at once. The voting set is made large enough to tolerate this number. */
        public Builder toleratedLosses(final int value) {
            toleratedLosses = value;
            return this;
        }

        /** The current voting set as chosen by consensus, if known; otherwise the founding voters are used. */
        public Builder votingSet(final ChosenItem chosenSet) {
            votingSet = chosenSet;
            return this;
        }

        /** The maximum stored size of one operator's update, and of the whole configuration. */
        public Builder updateLimits(final UpdateLimits limits) {
            updateLimits = limits;
            return this;
        }

        /** How long after a keyed request was sent a request with the same key must not run again, in ms. */
        public Builder keyWindowMs(final long milliseconds) {
            keyWindowMs = milliseconds;
            return this;
        }

        /** Limits retries, in any 10 s over all nodes, to a fraction of the requests to a service plus a fixed number. */
        public Builder retryLimits(final double ratio, final double slackPerWindow) {
            retryRatio = ratio;
            retrySlack = slackPerWindow;
            return this;
        }

        public NodeSettings build() {
            return new NodeSettings(
                    self,
                    seeds,
                    quorum,
                    shards,
                    cacheBytes,
                    firstBoot,
                    foundingVoters,
                    new AtomicReference<>(new ReloadableSettings(
                            timings, retryRatio, retrySlack, drainNoticeMs, regions, toleratedLosses)),
                    votingSet,
                    keyWindowMs,
                    updateLimits);
        }
    }
}
