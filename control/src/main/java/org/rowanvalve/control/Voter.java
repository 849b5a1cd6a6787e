package org.rowanvalve.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.rowanvalve.common.Ballot;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.DiskTrouble;
import org.rowanvalve.common.Event;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Ver;

/**
 * One voter over all registers, or a standby that may become one. It answers only in the present epoch, and only with a
 * memory that holds all it ever answered there.
 */
public final class Voter {
    private static final long AGAIN = 400;
    private final NodeId self;
    private final Electorate electorate;
    private final Loop loop;
    private final Journal journal;
    private final String boot;
    private final boolean first;
    private final VoterMemory memory;
    private final MemoryRecovery recovery;
    private final VoterHandover handover;
    private Runnable whole = () -> {};
    private Runnable prefill = () -> {};

    public Voter(
            final NodeId self,
            final Electorate electorate,
            final Loop loop,
            final Net net,
            final MonitoredDisk disk,
            final Journal journal,
            final String boot,
            final boolean first,
            final BooleanSupplier virgin) {
        this.self = self;
        this.electorate = electorate;
        this.loop = loop;
        this.journal = journal;
        this.boot = boot;
        this.first = first;
        memory = new VoterMemory(disk, journal);
        recovery = new MemoryRecovery(
                self, electorate, memory, loop, net, journal, boot, first, virgin, this::votes, () -> whole.run());
        handover = new VoterHandover(self, electorate, memory, loop, net, journal, this::joined);
    }

    public void start() throws DiskTrouble {
        recovery.start();
        final Msg.Chosen set = memory.load();
        if (!memory.full()) {
            if (electorate.has(self)) {
                journal.add(Event.of(Code.AMNESIA, "boot", boot));
            }
            if (first && electorate.quorum().stores().isEmpty()) {
                memory.saveFirst();
            }
        }
        electorate.onChange(this::moved);
        if (set != null) {
            electorate.settle(self, set.item().ver().n(), set);
        }
        handover.moved();
        step();
    }

    /** The present set has changed. */
    private void moved() {
        journal.add(Event.of(
                Code.VOTERS_SET,
                "epoch",
                electorate.epoch(),
                "voters",
                electorate.voters(),
                "voting",
                electorate.has(self)));
        recovery.moved();
        handover.moved();
        catchUp();
    }

    private void step() {
        catchUp();
        loop.after(AGAIN, this::step);
    }

    /** A voter that can't vote yet reads the earlier set, or the others of its own where its memory was lost. */
    private void catchUp() {
        if (votes() || !electorate.has(self)) {
            return;
        }
        if (electorate.epoch() > memory.epoch() && memory.continuous()) {
            prefill();
            handover.take();
        } else if (!memory.full()) {
            recovery.attempt();
        }
    }

    private void prefill() {
        prefill.run();
    }

    private void joined() {
        whole.run();
    }

    /** Run once a lost memory is rebuilt: what the node has learned meanwhile is not in what was read from others. */
    public void onWhole(final Runnable job) {
        whole = job;
    }

    /** {@code known}: all chosen items that this node holds; they need not be handed over. */
    public void prefill(final java.util.function.Supplier<? extends Iterable<Msg.Chosen>> known) {
        prefill = () -> known.get().forEach(this::keep);
    }

    public void records(final RecordHandover store) {
        handover.records(store);
        recovery.records(store);
    }

    public boolean full() {
        return memory.full();
    }

    /** Whether this voter answers in the present epoch. */
    public boolean votes() {
        return memory.full() && memory.epoch() == electorate.epoch() && electorate.has(self);
    }

    /** Why a question of this epoch isn't answered here; empty where it is. */
    public Optional<Msg> refusal(final long epoch) {
        if (epoch != electorate.epoch()) {
            return Optional.of(electorate.refusal());
        }
        return votes() ? Optional.empty() : Optional.of(new Msg.Nay(memory.full() ? "not voting" : "amnesia"));
    }

    /** How often this memory, or the one it was rebuilt from, was the only one left. */
    public long lives() {
        return memory.lives();
    }

    public Digest digest() {
        return memory.digest();
    }

    public Map<ItemId, Msg.Slot> slots() {
        return memory.slots();
    }

    public Ver ver(final ItemId id) {
        return memory.slot(id).item().ver();
    }

    public void prepare(final Msg.Prepare ask, final Consumer<Msg> back) {
        final Optional<Msg> refusal = refusal(ask.epoch());
        if (refusal.isPresent()) {
            back.accept(refusal.get());
            return;
        }
        if (memory.stuck()) {
            back.accept(new Msg.Nay(Msg.Nay.DISK));
            return;
        }
        final Msg.Slot s = memory.slot(ask.id());
        if (!ask.ballot().above(s.promised()) || ask.ballot().round() <= memory.floor()) {
            back.accept(new Msg.Promise(false, memory.high(s), s.at(), null));
            return;
        }
        final Msg.Slot n = new Msg.Slot(ask.ballot(), s.at(), s.item());
        memory.put(n);
        memory.save(n, () -> back.accept(new Msg.Promise(true, ask.ballot(), n.at(), n.item())));
    }

    public void accept(final Msg.Accept ask, final Consumer<Msg> back) {
        final Optional<Msg> refusal = refusal(ask.epoch());
        if (refusal.isPresent()) {
            back.accept(refusal.get());
            return;
        }
        if (memory.stuck()) {
            back.accept(new Msg.Nay(Msg.Nay.DISK));
            return;
        }
        final Ballot ballot = ask.ballot();
        final Item item = ask.item();
        final Msg.Slot s = memory.slot(item.id());
        if (s.promised().above(ballot) || ballot.round() <= memory.floor()) {
            back.accept(new Msg.Accepted(false, memory.high(s)));
            return;
        }
        final Ballot promised = ask.next() != null && ask.next().above(ballot) ? ask.next() : ballot;
        final Msg.Slot n = new Msg.Slot(promised, ballot, item);
        memory.put(n);
        memory.save(n, () -> back.accept(new Msg.Accepted(true, n.promised())));
    }

    /** Slots of dropped items go; the floor keeps all that was promised or accepted for them from coming back. */
    public void sweep(final Sweep sweep) {
        final List<Msg.Slot> dead = !memory.full() || memory.stuck()
                ? List.of()
                : memory.slots().values().stream()
                        .filter(s -> s.item().id().kind().rising()
                                && sweep.drops(s.item().id(), s.item().ver().n())
                                && sweep.floor(s.item().id().kind()) > 0)
                        .toList();
        if (!dead.isEmpty()) {
            memory.drop(dead);
        }
    }

    /** A chosen value is a fact: whoever prepares above its ballot hears of it from a majority anyway. */
    public void learn(final Msg.Chosen got) {
        if (votes() && keep(got)) {
            memory.save(memory.slot(got.item().id()), () -> {});
        }
    }

    private boolean keep(final Msg.Chosen got) {
        final Msg.Slot s = memory.slot(got.item().id());
        final boolean news =
                got.item().ver().above(s.item().ver()) && got.ballot().above(s.at());
        if (news) {
            final Ballot promised = got.ballot().above(s.promised()) ? got.ballot() : s.promised();
            memory.put(new Msg.Slot(promised, got.ballot(), got.item()));
        }
        return news;
    }

    public void reread(final NodeId from, final Msg.Reread ask, final Consumer<Msg> back) {
        if (ask.epoch() != electorate.epoch()) {
            back.accept(electorate.refusal());
        } else {
            recovery.reread(from, ask, back);
        }
    }

    public void handover(final NodeId from, final Msg.Handover ask, final Consumer<Msg> back) {
        handover.give(from, ask, back);
    }

    public void handoverRecords(final NodeId from, final Msg.HandoverRecords ask, final Consumer<Msg> back) {
        handover.giveRecords(from, ask, back);
    }

    /** Gets ready to be a voter of the next set. {@code current}: this node's frame was confirmed by the present voters. */
    public void prepareToJoin(final long epoch, final boolean current, final Consumer<Msg> back) {
        if (epoch != electorate.epoch()) {
            back.accept(electorate.refusal());
        } else if (electorate.has(self) || !current || memory.stuck()) {
            back.accept(new Msg.CaughtUp(false));
        } else {
            memory.saveStandby(epoch, () -> back.accept(new Msg.CaughtUp(epoch == electorate.epoch())));
        }
    }

    /** An operator vouches that one voter holds all: its copy is taken without a majority. */
    public void vouch(final NodeId from, final Consumer<Boolean> then) {
        recovery.vouch(from, then);
    }
}
