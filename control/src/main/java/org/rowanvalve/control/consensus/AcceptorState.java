package org.rowanvalve.control.consensus;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.MessageCodec;
import org.rowanvalve.common.message.MessageFormatException;
import org.rowanvalve.common.message.Register;
import org.rowanvalve.common.message.RegisterPosition;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.StorageException;
import org.rowanvalve.control.store.ItemDigest;

/**
 * What a voter stores, in rows on its disk: its registers, a floor under all ballots, the epoch it last voted in, and
 * the latest chosen voting set that it has synced.
 */
public final class AcceptorState {
    private static final String SEAL_KEY = "seal";
    private static final String REGISTER_PREFIX = "e/";
    /**
     * Marks a disk that was there at the network's first start; at a later start it shows, without a seal, that nothing
     * was lost.
     */
    private static final String FIRST_START_KEY = "first";
    /** On the disk of a standby: up to this epoch it has never voted with a state that is now lost. */
    private static final String STANDBY_KEY = "standby";

    private static final String VOTING_SET_KEY = "voters";

    private final MonitoredStorage storage;
    private final EventJournal journal;
    private final RegisterTable registers = new RegisterTable();
    private Map<NodeId, String> founders = Map.of();
    private long ballotFloor;
    private long resumptions;
    private long epoch;
    private long sealedEpoch;
    private boolean complete;
    private boolean firstStart;
    private boolean standbySaved;
    private boolean saveFailed;

    public record Seal(
            Map<NodeId, String> founders,
            @JsonProperty("floor") long ballotFloor,
            @JsonProperty("lives") long resumptions,
            long epoch) {}

    public record Standby(long epoch) {}

    AcceptorState(final MonitoredStorage storage, final EventJournal journal) {
        this.storage = storage;
        this.journal = journal;
    }

    /** Reads the rows; returns the latest chosen set of voters among them, or null. */
    ChosenItem load() throws StorageException {
        ChosenItem voters = null;
        try {
            for (final Map.Entry<String, byte[]> row : storage.load().entrySet()) {
                if (row.getKey().equals(SEAL_KEY)) {
                    final Seal seal = MessageCodec.decode(row.getValue(), Seal.class);
                    founders = seal.founders();
                    ballotFloor = seal.ballotFloor();
                    resumptions = seal.resumptions();
                    epoch = seal.epoch();
                    complete = true;
                } else if (row.getKey().equals(FIRST_START_KEY)) {
                    firstStart = true;
                } else if (row.getKey().equals(STANDBY_KEY)) {
                    standbySaved = true;
                } else if (row.getKey().equals(VOTING_SET_KEY)) {
                    voters = MessageCodec.decode(row.getValue(), ChosenItem.class);
                } else if (row.getKey().startsWith(REGISTER_PREFIX)) {
                    put(MessageCodec.decode(row.getValue(), Register.class));
                }
            }
        } catch (final MessageFormatException e) {
            throw new StorageException("voter rows cannot be read", e);
        }
        sealedEpoch = voters == null ? 0 : voters.item().version().number();
        if (!complete) {
            registers.clear();
        }
        return voters;
    }

    boolean complete() {
        return complete;
    }

    /** The disk was there at the network's first start. */
    boolean firstStart() {
        return firstStart;
    }

    /** Whether every vote of this machine that still counts is stored here, or none was given. */
    boolean isContinuous() {
        return complete || standbySaved || firstStart;
    }

    /** The last epoch in which this state took part in votes. */
    long epoch() {
        return epoch;
    }

    /** The epoch of the latest chosen set that is synced here: all earlier epochs are sealed. */
    long sealedEpoch() {
        return sealedEpoch;
    }

    long ballotFloor() {
        return ballotFloor;
    }

    long resumptions() {
        return resumptions;
    }

    Map<NodeId, String> founders() {
        return founders;
    }

    ItemDigest digest() {
        return registers.digest();
    }

    Map<ItemId, Register> registers() {
        return registers.all();
    }

    void addRegisterListener(final Consumer<ItemId> listener) {
        registers.addListener(listener);
    }

    Register register(final ItemId id) {
        return registers.all().getOrDefault(id, new Register(Ballot.ZERO, Ballot.ZERO, Item.none(id)));
    }

    /** The lowest ballot that a prepare must exceed here. */
    Ballot highestBallot(final Register register) {
        final Ballot low = new Ballot(ballotFloor, "~");
        return register.promisedBallot().isAbove(low) ? register.promisedBallot() : low;
    }

    void put(final Register slot) {
        registers.put(slot);
    }

    /** Takes the higher promise and the value of the higher ballot. */
    void merge(final Register register) {
        final Register previous = register(register.item().id());
        final Register best = register.acceptedBallot().isAbove(previous.acceptedBallot()) ? register : previous;
        final Ballot promised = register.promisedBallot().isAbove(previous.promisedBallot())
                ? register.promisedBallot()
                : previous.promisedBallot();
        put(new Register(promised, best.acceptedBallot(), best.item()));
    }

    /** What another voter's state says beside its registers. */
    void adopt(final Map<NodeId, String> founderNames, final long otherFloor, final long otherResumptions) {
        founders = Map.copyOf(founderNames);
        ballotFloor = Math.max(ballotFloor, otherFloor);
        resumptions = Math.max(resumptions, otherResumptions);
    }

    void found(final Map<NodeId, String> founderNames) {
        founders = Map.copyOf(founderNames);
    }

    void resume() {
        resumptions++;
    }

    /** Above all that was promised or accepted here. */
    long top() {
        return registers().values().stream()
                .mapToLong(register -> Math.max(
                        register.promisedBallot().round(),
                        register.acceptedBallot().round()))
                .reduce(ballotFloor, Math::max);
    }

    void raise(final long otherFloor) {
        ballotFloor = Math.max(ballotFloor, otherFloor);
    }

    /** From now on votes in this epoch are remembered. */
    void activate(final long present) {
        epoch = Math.max(epoch, present);
        complete = true;
    }

    /** Drops registers; the ballot floor keeps what was promised for them from coming back. */
    void drop(final Collection<Register> dead) {
        final Map<String, byte[]> rows = new HashMap<>();
        dead.forEach(register -> {
            ballotFloor = Math.max(
                    ballotFloor,
                    Math.max(
                            register.promisedBallot().round(),
                            register.acceptedBallot().round()));
            registers.remove(register.item().id());
            rows.put(REGISTER_PREFIX + register.item().id().text(), null);
        });
        rows.putAll(seal(epoch));
        storage.save(rows, ok -> {});
    }

    private Map<String, byte[]> seal(final long sealEpoch) {
        return Map.of(SEAL_KEY, MessageCodec.encode(new Seal(founders, ballotFloor, resumptions, sealEpoch)));
    }

    private static void pack(final Collection<Register> list, final Map<String, byte[]> rows) {
        list.forEach(
                register -> rows.put(REGISTER_PREFIX + register.item().id().text(), MessageCodec.encode(register)));
    }

    void save(final Register slot, final Runnable synced) {
        final Map<String, byte[]> rows = new HashMap<>();
        pack(List.of(slot), rows);
        save(rows, synced, () -> {});
    }

    void saveSeal(final Runnable synced) {
        save(seal(epoch), synced, () -> {});
    }

    /** All registers, the seal of {@code sealEpoch} and what comes along, in one transaction. */
    void saveAll(
            final long sealEpoch, final Map<String, byte[]> otherRows, final Runnable synced, final Runnable failed) {
        final Map<String, byte[]> rows = new HashMap<>(otherRows);
        pack(registers().values(), rows);
        rows.putAll(seal(sealEpoch));
        save(rows, synced, failed);
    }

    void saveFirstStart() {
        firstStart = true;
        storage.save(Map.of(FIRST_START_KEY, new byte[0]), ok -> {});
    }

    /** {@code synced}: once it is synced that this machine has no lost vote of an epoch after {@code present}. */
    void saveStandby(final long present, final Runnable synced) {
        if (complete || standbySaved) {
            synced.run();
            return;
        }
        save(
                Map.of(STANDBY_KEY, MessageCodec.encode(new Standby(present))),
                () -> {
                    standbySaved = true;
                    synced.run();
                },
                () -> {});
    }

    /** Seals all epochs before the one of this chosen set. */
    void saveVotingSet(final ChosenItem set, final Runnable synced, final Runnable failed) {
        save(
                Map.of(VOTING_SET_KEY, MessageCodec.encode(set)),
                () -> {
                    sealedEpoch = Math.max(sealedEpoch, set.item().version().number());
                    synced.run();
                },
                failed);
    }

    private void save(final Map<String, byte[]> rows, final Runnable synced, final Runnable failed) {
        storage.save(rows, ok -> {
            if (ok) {
                saveFailed = false;
                synced.run();
                return;
            }
            if (!saveFailed) {
                saveFailed = true;
                journal.add(Event.of(EventCode.DISK_SLOW, "rows", rows.size()));
            }
            failed.run();
        });
    }

    boolean isStalled() {
        return storage.isStalled();
    }

    /** Checksums by bucket over the accepted values and their ballots, to find where two states differ. */
    List<Long> checksums() {
        return registers.checksums();
    }

    /** See {@link RegisterTable#page}. */
    RegisterTable.Page page(final List<Long> otherChecksums, final RegisterPosition from, final boolean withinBuckets) {
        return registers.page(otherChecksums, from, withinBuckets);
    }

    /** Checksums over the accepted ones among these registers, in so many buckets, a power of two. */
    static List<Long> checksums(final Collection<Register> registers, final int buckets) {
        final long[] sums = new long[buckets];
        registers.forEach(
                register -> sums[ItemDigest.bucket(register.item().id(), buckets)] ^= RegisterTable.checksum(register));
        return Arrays.stream(sums).boxed().toList();
    }

    /** {@code synced}: once all that was accepted before is synced; not called where the disk fails. */
    void whenSynced(final Runnable synced) {
        save(Map.of(), synced, () -> {});
    }
}
