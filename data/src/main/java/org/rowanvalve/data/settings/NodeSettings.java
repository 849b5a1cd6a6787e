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

/** The settings of a process; {@code reloadable} is what may change while it runs. */
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

    /** Whether the voters are chosen by ballot; where stores are named, they stay the configured ones. */
    public boolean votersMayChange() {
        return quorum.stores().isEmpty();
    }

    /** Where voters change, every shield has a disk and may become one. */
    public boolean mayVote() {
        return isFoundingVoter() || votersMayChange() && hasRole(Role.SHIELD);
    }

    /** Whether this node may lead: stores do; where no voter is named a store, every voter has a disk and may. */
    public boolean arbitrates() {
        return hasRole(Role.STORE) || votersMayChange() && mayVote();
    }

    /** The index of a cell's region; the first where it is in none. */
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

        /** False where the network is known to have been founded before: an elector without memory then founds nothing. */
        public Builder firstBoot(final boolean firstBootNow) {
            firstBoot = firstBootNow;
            return this;
        }

        /** The electors with their addresses, {@code ID@IP:PORT}, for nodes that do not know them yet. */
        public Builder foundingVoters(final List<String> values) {
            foundingVoters = List.copyOf(values);
            return this;
        }

        /** How long a draining edge still takes requests, so that load balancers can turn elsewhere. */
        public Builder drainNoticeMs(final long milliseconds) {
            drainNoticeMs = milliseconds;
            return this;
        }

        /** Cells, or the beginnings of cells, that objects are filled for apart; the same on all nodes. */
        public Builder regions(final List<String> values) {
            regions = values;
            return this;
        }

        /** How many voters may be lost at once; the set is made as large as that needs. */
        public Builder toleratedLosses(final int value) {
            toleratedLosses = value;
            return this;
        }

        /** The chosen set that votes now, where it is known; without it the founding set is taken. */
        public Builder votingSet(final ChosenItem chosenSet) {
            votingSet = chosenSet;
            return this;
        }

        /** How large operators' updates, and all they define, may be as stored. */
        public Builder updateLimits(final UpdateLimits limits) {
            updateLimits = limits;
            return this;
        }

        /** How long after a keyed request was sent its key must not run again. */
        public Builder keyWindowMs(final long milliseconds) {
            keyWindowMs = milliseconds;
            return this;
        }

        /** Retries: a fraction of the requests to a service, and a number besides, in any 10 s over all nodes. */
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
