package org.rowanvalve.control;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Token;

/**
 * Fills a record store from those of the present voters: a voter that lost its memory until nothing is lacking, a standby
 * so that little is left to hand over once it votes. One copy of each kind at a time, given up when the set changes.
 */
final class RecordRecovery {
    private static final long LOOK_PERIOD = 250;
    /** For how long a standby counts as warm once it has copied what a voter holds. */
    private static final long WARM = 3000;

    private static final long WARM_WAIT = 500;
    private final NodeId self;
    private final String name;
    private final Electorate electorate;
    private final Net net;
    private final Loop loop;
    private final Journal journal;
    private final KeyRecordTable table;
    private final Records records;
    private final List<Consumer<Boolean>> waiting = new ArrayList<>();
    private RecordCopy recalling;
    private RecordCopy warming;
    private boolean looking;
    private long warmed = Long.MIN_VALUE;

    /** The store that is filled. */
    interface Records {
        boolean lapse();

        void raise(Map<Integer, Token> bars);

        void mergeAll(List<Msg.AgedNote> notes);

        /** All that was lacking is here; {@code then} hears whether that is synced. */
        void recalled(Consumer<Boolean> then);
    }

    /** {@code name}: this life of this voter. */
    RecordRecovery(
            final NodeId self,
            final String name,
            final Electorate electorate,
            final Net net,
            final Loop loop,
            final Journal journal,
            final KeyRecordTable table,
            final Records records) {
        this.self = self;
        this.name = name;
        this.electorate = electorate;
        this.net = net;
        this.loop = loop;
        this.journal = journal;
        this.table = table;
        this.records = records;
    }

    void start() {
        electorate.onChange(this::moved);
        recall();
    }

    /** Another set votes: what was begun with the one before is given up. */
    private void moved() {
        stop(recalling);
        recalling = null;
        stop(warming);
        warming = null;
        warmed = Long.MIN_VALUE;
    }

    private static void stop(final RecordCopy copy) {
        if (copy != null) {
            copy.stop();
        }
    }

    /** While records are lacking, one copy of the others' is under way. */
    void recall() {
        if (!records.lapse()) {
            stop(recalling);
            recalling = null;
            return;
        }
        if (recalling == null && electorate.has(self)) {
            recalling = copy(
                    true, (copied, bare) -> electorate.quorum().read(copied) || sole(copied, bare), this::recalled);
        }
        if (!looking) {
            looking = true;
            loop.after(LOOK_PERIOD, () -> {
                looking = false;
                recall();
            });
        }
    }

    private void recalled() {
        records.recalled(ok -> recalling = null);
    }

    /** All others were asked, those without memory said so, and a store has its own: every note stands there. */
    private boolean sole(final Set<NodeId> with, final Set<NodeId> bare) {
        return with.size() + bare.size() == electorate.voters().size() - 1
                && electorate.quorum().stores().stream().anyMatch(with::contains);
    }

    /** {@code then} hears whether what some voter holds has been copied a moment ago. */
    void warm(final Consumer<Boolean> then) {
        if (electorate.has(self) || warmed != Long.MIN_VALUE && loop.now() - warmed < WARM) {
            then.accept(true);
            return;
        }
        waiting.add(then);
        if (warming == null) {
            warming = copy(
                    false,
                    (copied, bare) -> !copied.isEmpty() || electorate.quorum().read(bare),
                    this::warmed);
        }
        loop.after(WARM_WAIT, () -> {
            if (waiting.remove(then)) {
                then.accept(false);
            }
        });
    }

    private void warmed() {
        warming = null;
        warmed = loop.now();
        final List<Consumer<Boolean>> list = List.copyOf(waiting);
        waiting.clear();
        list.forEach(w -> w.accept(true));
    }

    private RecordCopy copy(
            final boolean bar, final BiPredicate<Set<NodeId>, Set<NodeId>> enough, final Runnable done) {
        final Net taught = (to, msg, wait, then) -> net.ask(to, msg, wait, r -> {
            electorate.refused(to, r);
            then.accept(r);
        });
        final List<NodeId> others = new ArrayList<>(electorate.voters());
        others.remove(self);
        Collections.rotate(others, Math.floorMod(self.hashCode(), Math.max(1, others.size())));
        final RecordCopy copy =
                new RecordCopy(loop, taught, journal, table, electorate.epoch(), name, bar, enough, sink(done));
        copy.start(others);
        return copy;
    }

    private RecordCopy.Sink sink(final Runnable done) {
        return new RecordCopy.Sink() {
            @Override
            public void bars(final Map<Integer, Token> bars) {
                records.raise(bars);
            }

            @Override
            public void notes(final List<Msg.AgedNote> notes) {
                records.mergeAll(notes);
            }

            @Override
            public void done() {
                done.run();
            }
        };
    }
}
