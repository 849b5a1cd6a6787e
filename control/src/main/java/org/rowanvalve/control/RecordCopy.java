package org.rowanvalve.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.Event;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Reply;
import org.rowanvalve.common.Token;

/**
 * Copies the records that other keepers hold and this one lacks: the sums of all cells first, then pages of those cells
 * that differ, from one keeper after the other. A page that is late or whose sum is wrong is asked again, and that one
 * alone; a keeper that is slow waits behind the others. What has been taken is not asked for again.
 */
final class RecordCopy {
    private static final long FIRST_WAIT = 1000;
    private static final long LONGEST_WAIT = 8000;
    private static final long PAUSE = 250;
    private static final long BARE_PAUSE = 1000;
    private static final int FAILURES_IN_TURN = 3;
    /** Pages under way at once; more would hold up the other frames of a circuit. */
    private static final int LANES = 2;

    private final Loop loop;
    private final Net net;
    private final Journal journal;
    private final KeyRecordTable table;
    private final long epoch;
    private final Msg.KeepSums greeting;
    private final BiPredicate<Set<NodeId>, Set<NodeId>> enough;
    private final Sink sink;
    private final Map<NodeId, Source> sources = new LinkedHashMap<>();
    private final Deque<Source> queue = new ArrayDeque<>();
    private final Set<NodeId> copied = new HashSet<>();
    private final Set<NodeId> bare = new HashSet<>();
    private final long begun;
    private Source active;
    private boolean over;
    private int pages;
    private int records;

    /** Where the copied goes. */
    interface Sink {
        void bars(Map<Integer, Token> bars);

        void notes(List<Msg.AgedNote> notes);

        /** Every keeper that counts has been copied. */
        void done();
    }

    private static final class Source {
        private final NodeId id;
        private final List<Lane> lanes = new ArrayList<>();
        private List<Long> sums = List.of();
        private int failures;

        Source(final NodeId id) {
            this.id = id;
        }

        long patience() {
            return Math.min(LONGEST_WAIT, FIRST_WAIT << Math.min(failures, 3));
        }

        long pause() {
            return PAUSE << Math.min(failures, 2);
        }
    }

    /** Cells that are copied one page after the other; {@code after}: the last key taken of the first of them, or null. */
    private static final class Lane {
        private List<Integer> cells;
        private String after;
        private boolean asking;

        Lane(final List<Integer> cells) {
            this.cells = cells;
        }
    }

    /**
     * {@code asker}: this life of this voter; {@code bar}: whether the others' eras end for it; {@code enough}: whether those
     * that were copied, and those that said they have no memory, will do.
     */
    RecordCopy(
            final Loop loop,
            final Net net,
            final Journal journal,
            final KeyRecordTable table,
            final long epoch,
            final String asker,
            final boolean bar,
            final BiPredicate<Set<NodeId>, Set<NodeId>> enough,
            final Sink sink) {
        this.loop = loop;
        this.net = net;
        this.journal = journal;
        this.table = table;
        this.epoch = epoch;
        this.greeting = new Msg.KeepSums(epoch, asker, bar);
        this.enough = enough;
        this.sink = sink;
        this.begun = loop.now();
    }

    void start(final List<NodeId> from) {
        from.forEach(id -> sources.put(id, new Source(id)));
        sources.values().forEach(this::greet);
    }

    void stop() {
        over = true;
    }

    private void greet(final Source s) {
        if (over) {
            return;
        }
        net.ask(s.id, greeting, s.patience(), r -> greeted(s, r));
    }

    private void greeted(final Source s, final Reply r) {
        if (over) {
            return;
        }
        final Msg.KeptSums answer = r.as(Msg.KeptSums.class).orElse(null);
        if (answer == null || answer.ok() && answer.sums().size() != KeyRecordTable.CELLS) {
            s.failures++;
            loop.after(s.pause(), () -> greet(s));
        } else if (!answer.ok()) {
            bare.add(s.id);
            loop.after(BARE_PAUSE, () -> greet(s));
            check();
        } else {
            bare.remove(s.id);
            s.failures = 0;
            s.sums = answer.sums();
            sink.bars(answer.bars());
            queue.add(s);
            pump();
        }
    }

    /** One keeper at a time: what the first has given need not be asked of the next. */
    private void pump() {
        if (over || active != null || queue.isEmpty()) {
            return;
        }
        final Source s = queue.poll();
        active = s;
        if (s.lanes.isEmpty()) {
            open(s);
        } else {
            narrow(s);
        }
        goOn(s);
    }

    /** The cells that differ, shared out so that a page is on its way while the next is asked for. */
    private void open(final Source s) {
        final List<Integer> differing = table.differing(s.sums);
        final int share = (differing.size() + LANES - 1) / LANES;
        for (int from = 0; from < differing.size(); from += share) {
            s.lanes.add(new Lane(differing.subList(from, Math.min(differing.size(), from + share))));
        }
    }

    /** Another keeper has given something meanwhile; a cell in the midst of which the last page ended is kept. */
    private void narrow(final Source s) {
        final Set<Integer> differing = new HashSet<>(table.differing(s.sums));
        s.lanes.forEach(lane -> lane.cells = lane.cells.stream()
                .filter(c -> differing.contains(c) || lane.after != null && c == KeyRecordTable.cell(lane.after))
                .toList());
    }

    private void goOn(final Source s) {
        s.lanes.removeIf(lane -> lane.cells.isEmpty() && !lane.asking);
        if (s.lanes.isEmpty()) {
            active = null;
            copied.add(s.id);
            check();
            pump();
        } else {
            List.copyOf(s.lanes).forEach(lane -> page(s, lane));
        }
    }

    private void page(final Source s, final Lane lane) {
        if (over || active != s || lane.asking || lane.cells.isEmpty()) {
            return;
        }
        lane.asking = true;
        net.ask(s.id, new Msg.KeepCells(epoch, lane.cells, lane.after), s.patience(), r -> {
            lane.asking = false;
            if (!over) {
                paged(s, lane, r);
            }
        });
    }

    private void paged(final Source s, final Lane lane, final Reply r) {
        final Msg.KeptCells answer = r.as(Msg.KeptCells.class).orElse(null);
        if (answer == null || answer.ok() && !sound(s, lane, answer)) {
            failed(s, lane);
        } else if (!answer.ok()) {
            forgotten(s);
        } else {
            take(s, lane, answer);
        }
    }

    /** It has lost its own memory: it begins anew once it has it again. */
    private void forgotten(final Source s) {
        s.lanes.clear();
        if (active == s) {
            active = null;
            greet(s);
            pump();
        }
    }

    private boolean sound(final Source s, final Lane lane, final Msg.KeptCells answer) {
        final boolean same = KeyRecordTable.sound(answer)
                && (answer.next() == null || lane.cells.contains(KeyRecordTable.cell(answer.next())));
        if (!same) {
            journal.add(Event.of(
                    Code.RECORDS_BAD,
                    "from",
                    s.id.text(),
                    "records",
                    answer.notes().size()));
        }
        return same;
    }

    private void failed(final Source s, final Lane lane) {
        s.failures++;
        if (active == s && s.failures % FAILURES_IN_TURN == 0 && !queue.isEmpty()) {
            active = null;
            queue.add(s);
            pump();
        } else {
            loop.after(s.pause(), () -> page(s, lane));
        }
    }

    private void take(final Source s, final Lane lane, final Msg.KeptCells answer) {
        pages++;
        records += answer.notes().size();
        s.failures = 0;
        sink.notes(answer.notes());
        lane.after = answer.next();
        lane.cells = answer.next() == null ? List.of() : rest(lane.cells, KeyRecordTable.cell(answer.next()));
        if (active == s) {
            goOn(s);
        }
    }

    private static List<Integer> rest(final List<Integer> cells, final int from) {
        return new ArrayList<>(cells.subList(cells.indexOf(from), cells.size()));
    }

    private void check() {
        if (!over && enough.test(copied, bare)) {
            over = true;
            journal.add(Event.of(Code.RECORDS_COPIED, "records", records, "pages", pages, "ms", loop.now() - begun));
            sink.done();
        }
    }
}
