package org.rowanvalve.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.Event;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Reply;

/**
 * The change from one voting set to the next. A voter of the earlier set seals it: once the chosen later set is synced,
 * it answers nothing more in the earlier epoch and hands over what it holds. A voter of the later set reads a majority of
 * the sealed earlier set, syncs all that together with the new epoch, and only then votes. One that is late may read a
 * single voter of its own epoch, since that one has read such a majority and nothing was promised here since.
 */
final class VoterHandover {
    private static final long AGAIN = 100;
    private static final long PATIENCE = 500;
    private static final int PAGE = 64 << 10;
    private final NodeId self;
    private final Electorate electorate;
    private final VoterMemory memory;
    private final Loop loop;
    private final Net net;
    private final Journal journal;
    private final Runnable done;
    private final List<Runnable> sealing = new ArrayList<>();
    private RecordHandover records = RecordHandover.NONE;
    private Reading reading;

    /** {@code done}: run once this voter votes in the present epoch. */
    VoterHandover(
            final NodeId self,
            final Electorate electorate,
            final VoterMemory memory,
            final Loop loop,
            final Net net,
            final Journal journal,
            final Runnable done) {
        this.self = self;
        this.electorate = electorate;
        this.memory = memory;
        this.loop = loop;
        this.net = net;
        this.journal = journal;
        this.done = done;
    }

    void records(final RecordHandover store) {
        records = store;
    }

    /** The present set has changed: nothing more is answered in the earlier epoch, and that is synced. */
    void moved() {
        reading = null;
        seal();
    }

    private void seal() {
        electorate
                .chosen()
                .filter(set -> set.item().ver().n() > memory.sealed())
                .ifPresent(this::seal);
    }

    private void seal(final Msg.Chosen set) {
        memory.saveVoters(set, this::sealed, () -> loop.after(AGAIN, this::seal));
    }

    private void sealed() {
        if (memory.sealed() < electorate.epoch()) {
            return;
        }
        final List<Runnable> waiting = List.copyOf(sealing);
        sealing.clear();
        waiting.forEach(Runnable::run);
        if (reading != null) {
            reading.countSelf();
        }
    }

    /** What this voter held when it was sealed stands for its part of the earlier set. */
    private boolean gives() {
        final long present = electorate.epoch();
        return memory.full()
                && !records.lapse()
                && (memory.epoch() == present
                        || memory.epoch() == present - 1
                                && electorate.previous().contains(self));
    }

    /** The asker names the chosen set, so asking seals; the answer waits until that is synced. */
    private void whenSealed(final NodeId from, final Msg.Chosen set, final Consumer<Msg> back, final Runnable answer) {
        final long asked = set.item().ver().n();
        electorate.settle(from, asked, set);
        final Runnable checked = () -> {
            if (electorate.epoch() != asked) {
                back.accept(electorate.refusal());
            } else if (gives()) {
                answer.run();
            } else {
                back.accept(new Msg.Nay("nothing to hand over"));
            }
        };
        if (memory.sealed() >= electorate.epoch()) {
            checked.run();
        } else {
            sealing.add(checked);
        }
    }

    void give(final NodeId from, final Msg.Handover ask, final Consumer<Msg> back) {
        whenSealed(from, ask.voters(), back, () -> back.accept(page(ask.sums(), ask.from())));
    }

    void giveRecords(final NodeId from, final Msg.HandoverRecords ask, final Consumer<Msg> back) {
        whenSealed(from, ask.voters(), back, () -> back.accept(records.give(ask.sums(), ask.after())));
    }

    /** Whole cells that differ, in their order. */
    private Msg.HandedOver page(final List<Long> sums, final int from) {
        final List<Long> mine = memory.sums();
        final Map<Integer, List<Msg.Slot>> cells = new TreeMap<>();
        memory.slots().values().stream().filter(s -> s.at().round() > 0).forEach(s -> {
            final int cell = Digest.cell(s.item().id());
            if (cell >= from && !mine.get(cell).equals(sums.get(cell))) {
                cells.computeIfAbsent(cell, k -> new ArrayList<>()).add(s);
            }
        });
        final List<Msg.Slot> list = new ArrayList<>();
        int size = 0;
        for (final Map.Entry<Integer, List<Msg.Slot>> cell : cells.entrySet()) {
            if (size > PAGE) {
                return handedOver(list, cell.getKey());
            }
            list.addAll(cell.getValue());
            size += cell.getValue().stream().mapToInt(s -> s.item().size()).sum();
        }
        return handedOver(list, Msg.HandedOver.LAST);
    }

    private Msg.HandedOver handedOver(final List<Msg.Slot> list, final int next) {
        return new Msg.HandedOver(memory.epoch(), memory.top(), memory.lives(), memory.founders(), list, next);
    }

    /** Asks for what is still missing; called again and again until this voter votes or the set has changed once more. */
    void take() {
        if (reading == null || reading.epoch != electorate.epoch()) {
            reading = new Reading(electorate.chosen().orElseThrow());
        }
        reading.ask();
    }

    /** One reading of the earlier set, for one epoch. */
    private final class Reading {
        private final Msg.Chosen set;
        private final long epoch;
        private final List<NodeId> earlier = electorate.previous();
        private final Set<NodeId> asked = new HashSet<>();
        private final Set<NodeId> read = new HashSet<>();
        private boolean enough;
        private boolean saving;

        Reading(final Msg.Chosen set) {
            this.set = set;
            this.epoch = set.item().ver().n();
        }

        private boolean stands() {
            return reading == this && !saving && electorate.epoch() == epoch;
        }

        void ask() {
            countSelf();
            finish();
            final Set<NodeId> sources = new HashSet<>(earlier);
            sources.addAll(electorate.voters());
            sources.remove(self);
            sources.removeAll(read);
            final List<Long> sums = memory.sums();
            for (final NodeId source : sources) {
                if (stands() && asked.add(source)) {
                    registers(source, sums, 0);
                }
            }
        }

        /** This voter's own memory of the earlier epoch counts like one that was read, once it is sealed. */
        void countSelf() {
            final boolean sealed = memory.sealed() >= epoch && memory.epoch() == epoch - 1;
            if (stands() && sealed && earlier.contains(self) && gives()) {
                count(self, memory.epoch());
            }
        }

        private void failed(final NodeId source, final Reply r) {
            electorate.refused(source, r);
            asked.remove(source);
            if (stands()) {
                loop.after(AGAIN, () -> {
                    if (stands()) {
                        ask();
                    }
                });
            }
        }

        private void registers(final NodeId source, final List<Long> sums, final int from) {
            net.ask(source, new Msg.Handover(set, sums, from), PATIENCE, r -> {
                final Msg.HandedOver got = r.as(Msg.HandedOver.class).orElse(null);
                if (got == null || !stands()) {
                    failed(source, r);
                    return;
                }
                memory.adopt(got.founders(), got.floor(), got.lives());
                got.slots().forEach(memory::merge);
                if (got.next() == Msg.HandedOver.LAST) {
                    records(source, got.epoch(), records.sums(), null);
                } else {
                    registers(source, sums, got.next());
                }
            });
        }

        private void records(final NodeId source, final long of, final List<Long> sums, final String after) {
            net.ask(source, new Msg.HandoverRecords(set, sums, after), PATIENCE, r -> {
                final Msg.HandedRecords got = r.as(Msg.HandedRecords.class).orElse(null);
                if (got == null || !stands() || !records.merge(got)) {
                    failed(source, r);
                } else if (got.page().next() == null) {
                    count(source, of);
                } else {
                    records(source, of, sums, got.page().next());
                }
            });
        }

        /** {@code last}: the last epoch that the source has voted in. */
        private void count(final NodeId source, final long last) {
            read.add(source);
            enough |= last >= epoch || read.stream().filter(earlier::contains).count() > earlier.size() / 2;
            finish();
        }

        private void finish() {
            if (stands() && enough) {
                saving = true;
                memory.saveAll(
                        epoch,
                        records.rows(),
                        this::synced,
                        () -> loop.after(AGAIN, () -> {
                            saving = false;
                            finish();
                        }));
            }
        }

        private void synced() {
            memory.activate(epoch);
            records.joined();
            journal.add(Event.of(
                    Code.VOTER_JOINED, "epoch", epoch, "items", memory.slots().size()));
            if (electorate.epoch() == epoch) {
                reading = null;
            }
            done.run();
        }
    }
}
