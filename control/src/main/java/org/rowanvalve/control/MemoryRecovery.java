package org.rowanvalve.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.Event;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;

/**
 * A voter without memory answers no vote until it has read a majority of the others of its epoch, each of which raises its
 * floor first. All without memory found a new network, where nobody has said for a while that it holds anything.
 */
final class MemoryRecovery {
    private static final long HUSH = 1200;
    private static final long CALM = 700;
    private static final long PATIENCE = 2500;
    /** How long an answer without registers is waited for. */
    private static final long BRIEF = 350;
    /** How long one with all registers is waited for at first; each time twice as long as before, up to the longest. */
    private static final long WHOLE = 500;

    private static final long WHOLE_LONGEST = 8000;
    /** Starts of askers that are remembered; one that is forgotten only has the floor raised once more. */
    private static final int REMEMBERED = 64;

    private final NodeId self;
    private final Electorate electorate;
    private final VoterMemory memory;
    private final Loop loop;
    private final Net net;
    private final Journal journal;
    private final String boot;
    private final boolean first;
    private final BooleanSupplier virgin;
    private final BooleanSupplier votes;
    private final Runnable done;
    private RecordHandover records = RecordHandover.NONE;
    private final Set<String> barred = new HashSet<>();
    private boolean settling;
    private long turn;
    private long born;
    private long readingUntil = Long.MIN_VALUE;
    private long patience = WHOLE;

    /** {@code votes}: whether this voter votes in the present epoch; {@code done}: run once its memory is rebuilt. */
    MemoryRecovery(
            final NodeId self,
            final Electorate electorate,
            final VoterMemory memory,
            final Loop loop,
            final Net net,
            final Journal journal,
            final String boot,
            final boolean first,
            final BooleanSupplier virgin,
            final BooleanSupplier votes,
            final Runnable done) {
        this.self = self;
        this.electorate = electorate;
        this.memory = memory;
        this.loop = loop;
        this.net = net;
        this.journal = journal;
        this.boot = boot;
        this.first = first;
        this.virgin = virgin;
        this.votes = votes;
        this.done = done;
    }

    void records(final RecordHandover store) {
        records = store;
    }

    void start() {
        born = loop.now();
    }

    /** Answers of an earlier epoch count no more. */
    void moved() {
        turn++;
        readingUntil = Long.MIN_VALUE;
    }

    void reread(final NodeId from, final Msg.Reread ask, final Consumer<Msg> back) {
        final boolean has = votes.getAsBoolean();
        if (!has || !ask.bar()) {
            back.accept(memory(has, has || willing() ? boot : "", List.of()));
            return;
        }
        if (ask.sole()) {
            memory.resume();
            journal.add(Event.of(Code.RESUMED, "lives", memory.lives(), "floor", memory.floor()));
        }
        bar(from, ask.boot());
        final List<Msg.Slot> all = List.copyOf(memory.slots().values());
        final Msg.Memory answer = memory(true, boot, all);
        memory.saveSeal(() -> back.accept(answer));
    }

    /**
     * All that the asker's earlier life may have voted for was promised before its first ask, so it lies below a floor
     * raised then. Raising it for each repeat would refuse every ballot that is under way, again and again.
     */
    private void bar(final NodeId asker, final String start) {
        if (barred.size() >= REMEMBERED) {
            barred.clear();
        }
        if (barred.add(asker + "#" + start)) {
            memory.raise(1 + memory.top());
        }
    }

    private Msg.Memory memory(final boolean has, final String name, final List<Msg.Slot> slots) {
        return new Msg.Memory(has, name, memory.founders(), memory.floor(), slots, memory.lives(), loop.now() - born);
    }

    void attempt() {
        if (loop.now() >= readingUntil) {
            gather(false, false, ++turn);
        }
    }

    private void gather(final boolean bar, final boolean sole, final long mine) {
        final Map<NodeId, Msg.Memory> got = new HashMap<>();
        final long wait = bar ? patience : BRIEF;
        if (bar) {
            readingUntil = loop.now() + wait;
            patience = Math.min(WHOLE_LONGEST, 2 * patience);
        }
        for (final NodeId id : electorate.voters()) {
            if (!id.equals(self)) {
                net.ask(id, new Msg.Reread(electorate.epoch(), boot, bar, sole), wait, r -> {
                    electorate.refused(id, r);
                    r.as(Msg.Memory.class).ifPresent(m -> {
                        if (!memory.full() && turn == mine) {
                            got.put(id, m);
                            weigh(got, bar, mine);
                        }
                    });
                });
            }
        }
    }

    private void weigh(final Map<NodeId, Msg.Memory> got, final boolean bar, final long mine) {
        final Set<NodeId> with = new HashSet<>();
        got.forEach((id, m) -> {
            if (m.has()) {
                with.add(id);
            }
        });
        final boolean founding = electorate.epoch() == 0;
        if (founding
                && got.values().stream()
                        .anyMatch(m -> m.has()
                                && (memory.first() && !first
                                        || boot.equals(m.founders().get(self))))) {
            got.values().stream().filter(Msg.Memory::has).findFirst().ifPresent(m -> found(m.founders()));
        } else if (founding && with.isEmpty() && willing() && (unanimous(got) || enough(got))) {
            final Map<NodeId, String> all = new HashMap<>();
            got.forEach((id, m) -> all.put(id, m.boot()));
            all.values().removeIf(String::isEmpty);
            all.put(self, boot);
            found(all);
        } else if ((electorate.quorum().read(with) || sole(got, with)) && loop.now() - born >= CALM) {
            if (bar) {
                rebuild(got);
            } else {
                turn = mine + 1;
                gather(true, !electorate.quorum().read(with), turn);
            }
        }
    }

    /** Every other voter was asked, those without memory stand blank, and a store has its own: nothing accepted stands elsewhere. */
    private boolean sole(final Map<NodeId, Msg.Memory> got, final Set<NodeId> with) {
        return got.size() == electorate.voters().size() - 1
                && electorate.quorum().stores().stream().anyMatch(with::contains)
                && loop.now() - born >= HUSH
                && got.values().stream().filter(Msg.Memory::has).allMatch(m -> m.age() >= HUSH);
    }

    /** Every other voter has answered that it is willing too. */
    private boolean unanimous(final Map<NodeId, Msg.Memory> got) {
        return got.size() == electorate.voters().size() - 1
                && got.values().stream().noneMatch(m -> m.boot().isEmpty());
    }

    /**
     * Where starts are told apart, a majority in its first life that never voted is proof that nothing was ever accepted:
     * it need not wait for one that ended during the first start and came back without a note of it.
     */
    private boolean enough(final Map<NodeId, Msg.Memory> got) {
        return electorate.quorum().stores().isEmpty()
                && loop.now() - born >= PATIENCE
                && 1
                                + got.values().stream()
                                        .filter(m -> !m.has() && !m.boot().isEmpty())
                                        .count()
                        >= electorate.quorum().need();
    }

    /** A network is founded only after a while in which no node has said that it holds anything. */
    private boolean willing() {
        return (first || memory.first()) && loop.now() - born >= HUSH && virgin.getAsBoolean();
    }

    private void found(final Map<NodeId, String> all) {
        if (settling) {
            return;
        }
        settling = true;
        memory.found(all);
        memory.saveSeal(() -> {
            memory.activate(0);
            journal.add(Event.of(Code.FOUNDED, "electors", memory.founders().size()));
        });
    }

    private void rebuild(final Map<NodeId, Msg.Memory> got) {
        turn++;
        got.values().stream().filter(Msg.Memory::has).forEach(m -> {
            memory.adopt(m.founders(), m.floor(), m.lives());
            m.slots().forEach(memory::merge);
        });
        final long epoch = electorate.epoch();
        memory.saveAll(
                epoch,
                records.forgotten(),
                () -> {
                    memory.activate(epoch);
                    done.run();
                    journal.add(Event.of(Code.REBUILT, "items", memory.slots().size(), "floor", memory.floor()));
                },
                () -> {});
    }

    /** An operator vouches that one voter holds all: its copy is taken without a majority. */
    void vouch(final NodeId from, final Consumer<Boolean> then) {
        net.ask(from, new Msg.Reread(electorate.epoch(), boot, true, true), 2000, r -> {
            final Msg.Memory m = r.as(Msg.Memory.class).filter(Msg.Memory::has).orElse(null);
            if (m != null && !memory.full()) {
                rebuild(Map.of(from, m));
            }
            then.accept(m != null);
        });
    }
}
