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
 * The durable state of a voter, stored as rows on its disk: its registers, the ballot floor, at or below which it
 * rejects every ballot, the last epoch it voted in, and the latest chosen voting set that it has synced.
 */
public final class AcceptorState {
    /**
     * Row with the {@link Seal}. If it is missing, the state is incomplete and the registers on the disk do not count.
     */
    private static final String SEAL_KEY = "seal";

    private static final String REGISTER_PREFIX = "e/";
    /**
     * Row that marks a disk as present at the first start of the network. A later start that finds this row and no seal
     * has lost nothing.
     */
    private static final String FIRST_START_KEY = "first";
    /**
     * Row on the disk of a standby with the epoch in which it was prepared. While the row exists, no vote that this
     * node gave after that epoch is lost.
     */
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

    /** Loads the rows and returns the latest chosen voting set among them, or null if there is none. */
    ChosenItem load() throws StorageException {
        ChosenItem votingSet = null;
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
                    votingSet = MessageCodec.decode(row.getValue(), ChosenItem.class);
                } else if (row.getKey().startsWith(REGISTER_PREFIX)) {
                    put(MessageCodec.decode(row.getValue(), Register.class));
                }
            }
        } catch (final MessageFormatException e) {
            throw new StorageException("rows of the voter state cannot be decoded", e);
        }
        sealedEpoch = votingSet == null ? 0 : votingSet.item().version().number();
        if (!complete) {
            registers.clear();
        }
        return votingSet;
    }

    boolean complete() {
        return complete;
    }

    /** Whether this disk was present at the first start of the network. */
    boolean firstStart() {
        return firstStart;
    }

    /** Whether every vote of this node that still counts is stored here, or it has given none. */
    boolean hasLostNoVotes() {
        return complete || standbySaved || firstStart;
    }

    /** The last epoch in which this voter voted with this state. */
    long epoch() {
        return epoch;
    }

    /** The epoch of the latest chosen voting set that is synced here. All earlier epochs are sealed. */
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
        return registers.registers();
    }

    void addRegisterListener(final Consumer<ItemId> listener) {
        registers.addListener(listener);
    }

    Register register(final ItemId id) {
        return registers.registers().getOrDefault(id, new Register(Ballot.ZERO, Ballot.ZERO, Item.none(id)));
    }

    /** The ballot that a prepare of this register must exceed. The proposer "~" sorts after every node ID. */
    Ballot highestBallot(final Register register) {
        final Ballot floor = new Ballot(ballotFloor, "~");
        return register.promisedBallot().isAbove(floor) ? register.promisedBallot() : floor;
    }

    void put(final Register register) {
        registers.put(register);
    }

    /** Merges a register of another voter: keeps the higher promise, and the value with the higher accepted ballot. */
    void merge(final Register register) {
        final Register previous = register(register.item().id());
        final Register best = register.acceptedBallot().isAbove(previous.acceptedBallot()) ? register : previous;
        final Ballot promised = register.promisedBallot().isAbove(previous.promisedBallot())
                ? register.promisedBallot()
                : previous.promisedBallot();
        put(new Register(promised, best.acceptedBallot(), best.item()));
    }

    /**
     * Takes over another voter's founders, and raises the ballot floor and the resumption count to at least that
     * voter's.
     */
    void adopt(final Map<NodeId, String> foundingIncarnations, final long otherFloor, final long otherResumptions) {
        founders = Map.copyOf(foundingIncarnations);
        ballotFloor = Math.max(ballotFloor, otherFloor);
        resumptions = Math.max(resumptions, otherResumptions);
    }

    void setFounders(final Map<NodeId, String> foundingIncarnations) {
        founders = Map.copyOf(foundingIncarnations);
    }

    void countResumption() {
        resumptions++;
    }

    /** The highest round that was promised or accepted here, or the ballot floor if that is higher. */
    long highestRound() {
        return registers().values().stream()
                .mapToLong(register -> Math.max(
                        register.promisedBallot().round(),
                        register.acceptedBallot().round()))
                .reduce(ballotFloor, Math::max);
    }

    void raiseBallotFloor(final long otherFloor) {
        ballotFloor = Math.max(ballotFloor, otherFloor);
    }

    /** Marks the state as complete and as taking part in the votes of this epoch. */
    void activate(final long currentEpoch) {
        epoch = Math.max(epoch, currentEpoch);
        complete = true;
    }

    /**
     * Drops registers. The ballot floor rises to their ballots, so that a delayed message cannot restore a dropped
     * promise or value.
     */
    void drop(final Collection<Register> dropped) {
        final Map<String, byte[]> rows = new HashMap<>();
        dropped.forEach(register -> {
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

    private static void addRegisterRows(final Collection<Register> toSave, final Map<String, byte[]> rows) {
        toSave.forEach(
                register -> rows.put(REGISTER_PREFIX + register.item().id().text(), MessageCodec.encode(register)));
    }

    void save(final Register register, final Runnable synced) {
        final Map<String, byte[]> rows = new HashMap<>();
        addRegisterRows(List.of(register), rows);
        save(rows, synced, () -> {});
    }

    void saveSeal(final Runnable synced) {
        save(seal(epoch), synced, () -> {});
    }

    /** Saves all registers, the seal with {@code sealEpoch} and {@code otherRows} in one transaction. */
    void saveAll(
            final long sealEpoch, final Map<String, byte[]> otherRows, final Runnable synced, final Runnable failed) {
        final Map<String, byte[]> rows = new HashMap<>(otherRows);
        addRegisterRows(registers().values(), rows);
        rows.putAll(seal(sealEpoch));
        save(rows, synced, failed);
    }

    void saveFirstStart() {
        firstStart = true;
        storage.save(Map.of(FIRST_START_KEY, new byte[0]), ok -> {});
    }

    /**
     * Runs {@code synced} once the disk records that this node has lost no vote of an epoch after {@code currentEpoch}.
     */
    void saveStandby(final long currentEpoch, final Runnable synced) {
        if (complete || standbySaved) {
            synced.run();
            return;
        }
        save(
                Map.of(STANDBY_KEY, MessageCodec.encode(new Standby(currentEpoch))),
                () -> {
                    standbySaved = true;
                    synced.run();
                },
                () -> {});
    }

    /** Saves a chosen voting set, which seals all epochs before its own. */
    void saveVotingSet(final ChosenItem votingSet, final Runnable synced, final Runnable failed) {
        save(
                Map.of(VOTING_SET_KEY, MessageCodec.encode(votingSet)),
                () -> {
                    sealedEpoch =
                            Math.max(sealedEpoch, votingSet.item().version().number());
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

    /**
     * Checksums of each bucket over the accepted values and their ballots, for finding the buckets in which two states
     * differ.
     */
    List<Long> checksums() {
        return registers.checksums();
    }

    /** See {@link RegisterTable#page}. */
    RegisterTable.Page page(final List<Long> otherChecksums, final RegisterPosition from, final boolean withinBuckets) {
        return registers.page(otherChecksums, from, withinBuckets);
    }

    /**
     * Checksums over the accepted values of these registers, one for each bucket. {@code buckets} is a power of two.
     */
    static List<Long> checksums(final Collection<Register> registers, final int buckets) {
        final long[] checksums = new long[buckets];
        registers.forEach(register ->
                checksums[ItemDigest.bucket(register.item().id(), buckets)] ^= RegisterTable.checksum(register));
        return Arrays.stream(checksums).boxed().toList();
    }

    /** Runs {@code synced} once everything accepted before this call is synced. It does not run if the disk fails. */
    void whenSynced(final Runnable synced) {
        save(Map.of(), synced, () -> {});
    }
}
