package org.rowanvalve.data;

import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.rowanvalve.common.Member;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Role;
import org.rowanvalve.common.Timing;
import org.rowanvalve.control.Places;
import org.rowanvalve.control.Quorum;
import org.rowanvalve.control.RecordRetention;

/** What a process is told about its place; {@code live} is what may change while it runs. */
public record Setup(
        Member self,
        List<NodeId> seeds,
        Quorum quorum,
        int shards,
        long cacheBytes,
        boolean first,
        List<String> seats,
        AtomicReference<LiveSettings> live,
        Msg.Chosen voters,
        long keyWindowMs)
        implements Places {

    public Timing timing() {
        return live.get().timing();
    }

    public double share() {
        return live.get().extraRatio();
    }

    public double slack() {
        return live.get().extraSlack();
    }

    public long noticeMs() {
        return live.get().noticeMs();
    }

    public List<String> places() {
        return live.get().places();
    }

    public boolean elector() {
        return quorum.has(self.id());
    }

    /** Whether the voters are chosen by ballot; where stores are named, they stay the stated ones. */
    public boolean votersMayChange() {
        return quorum.stores().isEmpty();
    }

    /** Where voters change, every shield has a disk and may become one. */
    public boolean mayVote() {
        return elector() || votersMayChange() && is(Role.SHIELD);
    }

    /** Stores arbitrate; where no voter is named a store, every voter has a disk and does. */
    public boolean arbitrates() {
        return is(Role.STORE) || votersMayChange() && mayVote();
    }

    /** Which place a cell is in; the first where it is in none. */
    @Override
    public int at(final String cell) {
        final List<String> places = places();
        for (int i = 0; i < places.size(); i++) {
            if (cell.startsWith(places.get(i))) {
                return i;
            }
        }
        return 0;
    }

    @Override
    public int count() {
        return places().size();
    }

    public int place() {
        return at(self.cell());
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
        private boolean first = true;
        private double share = 0.2;
        private double slack = 60;
        private List<String> seats = List.of();
        private long notice = 1000;
        private List<String> places = List.of("");
        private int wantedLosses;
        private Msg.Chosen voters;
        private long keyWindow = RecordRetention.DEFAULT_WINDOW;

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

        /** False where the network is known to have been founded before: an elector without memory then founds nothing. */
        public Builder first(final boolean f) {
            first = f;
            return this;
        }

        /** The electors with their addresses, {@code ID@IP:PORT}, for nodes that do not know them yet. */
        public Builder seats(final List<String> list) {
            seats = List.copyOf(list);
            return this;
        }

        /** How long a leaving edge still takes requests, so that those who send them can turn elsewhere. */
        public Builder notice(final long ms) {
            notice = ms;
            return this;
        }

        /** Cells, or the beginnings of cells, that objects are filled for apart; the same on all nodes. */
        public Builder places(final List<String> list) {
            places = list;
            return this;
        }

        /** How many voters may be lost at once; the set is made as large as that needs. */
        public Builder wantedLosses(final int n) {
            wantedLosses = n;
            return this;
        }

        /** The chosen set that votes now, where it is known; without it the founding set is taken. */
        public Builder voters(final Msg.Chosen set) {
            voters = set;
            return this;
        }

        /** How long after a keyed request was sent its key must not run again. */
        public Builder keyWindow(final long ms) {
            keyWindow = ms;
            return this;
        }

        /** Extra tries: a part of the requests to a service, and a number beside, in any 10 s over all nodes. */
        public Builder extra(final double part, final double beside) {
            share = part;
            slack = beside;
            return this;
        }

        public Setup build() {
            return new Setup(
                    self,
                    seeds,
                    quorum,
                    shards,
                    cacheBytes,
                    first,
                    seats,
                    new AtomicReference<>(new LiveSettings(timing, share, slack, notice, places, wantedLosses)),
                    voters,
                    keyWindow);
        }
    }
}
