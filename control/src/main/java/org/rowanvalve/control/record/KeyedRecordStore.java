package org.rowanvalve.control.record;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.AgedRecord;
import org.rowanvalve.common.message.KeyedRecord;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.MessageCodec;
import org.rowanvalve.common.message.MessageFormatException;
import org.rowanvalve.common.message.OutcomeRequest;
import org.rowanvalve.common.message.OutcomeResponse;
import org.rowanvalve.common.message.RecordChecksumsRequest;
import org.rowanvalve.common.message.RecordChecksumsResponse;
import org.rowanvalve.common.message.RecordHandoverResponse;
import org.rowanvalve.common.message.RecordPageRequest;
import org.rowanvalve.common.message.RecordPageResponse;
import org.rowanvalve.common.message.RecordReadRequest;
import org.rowanvalve.common.message.RecordReadResponse;
import org.rowanvalve.common.message.RecordWriteRequest;
import org.rowanvalve.common.message.RecordWriteResponse;
import org.rowanvalve.common.message.RejectedResponse;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.Hash;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.StorageException;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.consensus.MonitoredStorage;
import org.rowanvalve.control.consensus.RecordHandover;
import org.rowanvalve.control.voting.VotingConfiguration;

/**
 * One replica of the records of keyed requests. It stores intents and outcomes, and rejects fencing tokens below the
 * highest token that its records were read with. Each write names the era in which its writer read this replica. A
 * replica that lost its records ends the era of this one before it copies the records from here. Without that, an
 * intent could reach its majority with one acceptance given before the loss and another given after the rebuild.
 */
public final class KeyedRecordStore implements RecordHandover, RecordRecovery.Records {
    private static final String RECORD_PREFIX = "k/";
    private static final String TOKEN_FLOOR_PREFIX = "b/";
    private static final String INCOMPLETE_KEY = "lapse";
    private static final String ERA_KEY = "era";
    private static final long SWEEP_INTERVAL_MS = 1000;
    private static final int REMEMBERED_REQUESTERS = 64;
    private final EventLoop loop;
    /** The time of day at the start of this process, continued by the steady clock: steps do not age records. */
    private final LongSupplier wallClock;

    private final MonitoredStorage storage;
    private final EventJournal journal;
    private final RecordRetention retention;
    private final KeyedRecordTable table = new KeyedRecordTable();
    private final RecordRecovery recovery;
    private final Map<Integer, FencingToken> tokenFloors = new HashMap<>();
    private final Map<Integer, String> lastReaders = new HashMap<>();
    private final Map<Integer, TokenFloor> syncedFloors = new HashMap<>();
    /** Requesters that have ended an era here; a repeated request of one of them does not end another era. */
    private final Set<String> eraEndedFor = Collections.newSetFromMap(new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(final Map.Entry<String, Boolean> eldest) {
            return size() > REMEMBERED_REQUESTERS;
        }
    });

    private long incompleteSince = Long.MIN_VALUE;
    private boolean incomplete;
    /** Whether the removal of the incomplete mark is being synced; rows saved meanwhile must not restore the mark. */
    private boolean clearingIncomplete;

    private long era;

    public record Incomplete(long since) {}

    public record TokenFloor(
            long term, long count, @JsonProperty("boot") String reader) {}

    public record Era(@JsonProperty("n") long number) {}

    public KeyedRecordStore(
            final NodeId self,
            final String boot,
            final VotingConfiguration votingConfiguration,
            final Transport transport,
            final EventLoop loop,
            final LongSupplier wallClock,
            final MonitoredStorage storage,
            final EventJournal journal,
            final RecordRetention retention) {
        final String name = self + "/" + boot;
        this.era = Hash.hash64(name) >>> 1;
        this.loop = loop;
        final long steadyToWallMs = wallClock.getAsLong() - loop.now();
        this.wallClock = () -> loop.now() + steadyToWallMs;
        this.storage = storage;
        this.journal = journal;
        this.retention = retention;
        this.recovery = new RecordRecovery(self, name, votingConfiguration, transport, loop, journal, table, this);
    }

    /** Loads the records from disk; throws if they cannot be read. */
    public void start() throws StorageException {
        final long now = wallClock.getAsLong();
        try {
            for (final Map.Entry<String, byte[]> row : storage.load().entrySet()) {
                load(row.getKey(), row.getValue(), now);
            }
        } catch (final MessageFormatException e) {
            throw new StorageException("stored rows of keyed records cannot be decoded", e);
        }
        recovery.start();
        loop.scheduleRepeatedly(SWEEP_INTERVAL_MS, this::removeExpired);
    }

    private void load(final String key, final byte[] row, final long now) throws MessageFormatException {
        if (key.startsWith(RECORD_PREFIX)) {
            final KeyedRecordTable.Row stored = MessageCodec.decode(row, KeyedRecordTable.Row.class);
            final long retentionMs = stored.retentionMs() > 0 ? stored.retentionMs() : retention.retentionMs();
            table.put(new KeyedRecordTable.Row(stored.keyedRecord(), Math.min(stored.writtenAt(), now), retentionMs));
        } else if (key.startsWith(TOKEN_FLOOR_PREFIX)) {
            final int shard = Integer.parseInt(key.substring(TOKEN_FLOOR_PREFIX.length()));
            final TokenFloor tokenFloor = MessageCodec.decode(row, TokenFloor.class);
            tokenFloors.put(shard, new FencingToken(tokenFloor.term(), tokenFloor.count()));
            lastReaders.put(shard, tokenFloor.reader() == null ? "" : tokenFloor.reader());
            syncedFloors.put(shard, tokenFloor);
        } else if (key.equals(INCOMPLETE_KEY)) {
            incompleteSince =
                    Math.min(now, MessageCodec.decode(row, Incomplete.class).since());
            incomplete = true;
        } else if (key.equals(ERA_KEY)) {
            era = MessageCodec.decode(row, Era.class).number();
        }
    }

    /** Whether this replica may lack records that it once stored and whose retention time has not passed. */
    @Override
    public boolean isIncomplete() {
        return incomplete && wallClock.getAsLong() < incompleteSince + retention.retentionMs();
    }

    /**
     * Marks the records as incomplete and starts to copy those of the other replicas. The returned rows, once saved,
     * keep the mark across restarts.
     */
    @Override
    public Map<String, byte[]> markIncomplete() {
        incomplete = true;
        incompleteSince = wallClock.getAsLong();
        loop.execute(recovery::recover);
        return incompleteRows();
    }

    private Map<String, byte[]> incompleteRows() {
        return isIncomplete() && !clearingIncomplete
                ? Map.of(INCOMPLETE_KEY, MessageCodec.encode(new Incomplete(incompleteSince)))
                : Map.of();
    }

    /** The number of stored records. */
    public int size() {
        return table.size();
    }

    /**
     * Handles the read of a shard's records by its holder. From then on only the last reader may write to the shard.
     */
    public void onRead(final RecordReadRequest request, final Consumer<Message> callback) {
        final FencingToken tokenFloor = tokenFloors.getOrDefault(request.shard(), FencingToken.ZERO);
        if (storage.isStalled()) {
            callback.accept(new RejectedResponse(RejectedResponse.STORAGE_UNAVAILABLE));
        } else if (request.token().isBelow(tokenFloor)) {
            callback.accept(rejection(tokenFloor));
        } else if (request.afterKey() == null) {
            beginRead(request, callback);
        } else if (request.era() != era(request.shard()) || !request.token().equals(tokenFloor)) {
            callback.accept(rejection(tokenFloor));
        } else {
            callback.accept(respondWithPage(request));
        }
    }

    private RecordReadResponse rejection(final FencingToken tokenFloor) {
        return new RecordReadResponse(false, isIncomplete(), tokenFloor, List.of(), 0, null);
    }

    private void beginRead(final RecordReadRequest request, final Consumer<Message> callback) {
        final String reader = request.reader() == null ? "" : request.reader();
        final TokenFloor tokenFloor =
                new TokenFloor(request.token().term(), request.token().count(), reader);
        tokenFloors.put(request.shard(), request.token());
        lastReaders.put(request.shard(), reader);
        if (tokenFloor.equals(syncedFloors.get(request.shard()))) {
            callback.accept(respondWithPage(request));
            return;
        }
        syncedFloors.remove(request.shard());
        saveRow(TOKEN_FLOOR_PREFIX + request.shard(), tokenFloor, ok -> {
            if (ok
                    && reader.equals(lastReaders.get(request.shard()))
                    && request.token().equals(tokenFloors.get(request.shard()))) {
                syncedFloors.put(request.shard(), tokenFloor);
                callback.accept(respondWithPage(request));
            }
        });
    }

    /** An incomplete replica sends no records, since its records do not count. */
    private RecordReadResponse respondWithPage(final RecordReadRequest request) {
        final int pageBytes = request.paged() ? KeyedRecordTable.BODILESS_PAGE_BYTES : Integer.MAX_VALUE;
        final KeyedRecordTable.Page page = isIncomplete()
                ? new KeyedRecordTable.Page(List.of(), null)
                : table.pageOfShard(request.shard(), request.afterKey(), pageBytes);
        final List<KeyedRecord> records = page.rows().stream()
                .map(KeyedRecordTable.Row::keyedRecord)
                .map(request.paged() ? KeyedRecord::withoutBody : KeyedRecord::withoutOutcome)
                .toList();
        return new RecordReadResponse(
                true, isIncomplete(), request.token(), records, era(request.shard()), page.nextKey());
    }

    /**
     * The era of a shard as its readers see it. It changes with the era of this replica and with the last reader of the
     * shard, so a writer whose number still matches was the last to read the shard here in the present era.
     */
    private long era(final int shard) {
        return era ^ Hash.hash64(lastReaders.getOrDefault(shard, ""));
    }

    /**
     * Stores an intent or an outcome. How the attempt ended whose intent is stored here is taken from any writer: an earlier
     * holder may have sent it before the shard moved. Otherwise the write is rejected if the writer has to read this replica again, or if the
     * record stored here outranks it; in the latter case the response contains the stored record. The response is sent
     * once the record that is kept has been synced.
     */
    public void onWrite(final RecordWriteRequest request, final Consumer<Message> callback) {
        final KeyedRecord record = request.keyedRecord();
        if (storage.isStalled()) {
            callback.accept(new RejectedResponse(RejectedResponse.STORAGE_UNAVAILABLE));
            return;
        }
        final KeyedRecordTable.Row stored = table.get(record.key());
        final boolean concludes = stored != null && record.concludes(stored.keyedRecord());
        if (!concludes && request.era() != era(record.shard())) {
            callback.accept(new RecordWriteResponse(false, isIncomplete(), true));
            return;
        }
        if (!concludes && record.token().isBelow(tokenFloors.getOrDefault(record.shard(), FencingToken.ZERO))) {
            callback.accept(new RecordWriteResponse(false, isIncomplete(), false));
            return;
        }
        final KeyedRecord merged = record.mergedOver(stored == null ? null : stored.keyedRecord());
        final KeyedRecordTable.Row row = merged == record
                ? new KeyedRecordTable.Row(record, wallClock.getAsLong(), retention.retentionMs())
                : stored;
        table.put(row);
        saveRow(RECORD_PREFIX + record.key(), row, ok -> {
            if (ok) {
                callback.accept(
                        merged == record
                                ? new RecordWriteResponse(true, isIncomplete(), false)
                                : new RecordWriteResponse(false, isIncomplete(), false, merged.withoutBody()));
            }
        });
    }

    /**
     * Returns the record of a key if it tells how an attempt ended. Any node may read that, whatever its token and era.
     */
    public void onOutcomeRequest(final OutcomeRequest request, final Consumer<Message> callback) {
        final KeyedRecordTable.Row row = table.get(request.key());
        final boolean ended = row != null
                && (row.keyedRecord().outcome() != null || row.keyedRecord().notSent());
        callback.accept(new OutcomeResponse(ended ? row.keyedRecord() : null));
    }

    /**
     * Handles the first request of a replica that copies the records stored here. With {@code endEra} the era ends
     * before the response is sent.
     */
    public void onChecksumsRequest(final RecordChecksumsRequest request, final Consumer<Message> callback) {
        if (isIncomplete()) {
            callback.accept(new RecordChecksumsResponse(false, List.of(), Map.of()));
        } else if (request.endEra()) {
            endEra(request.requester(), () -> callback.accept(checksumsResponse()));
        } else {
            callback.accept(checksumsResponse());
        }
    }

    private void endEra(final String requester, final Runnable then) {
        if (eraEndedFor.add(requester)) {
            era++;
        }
        saveRow(ERA_KEY, new Era(era), ok -> {
            if (ok) {
                then.run();
            }
        });
    }

    private RecordChecksumsResponse checksumsResponse() {
        return new RecordChecksumsResponse(true, table.bucketSums(), Map.copyOf(tokenFloors));
    }

    /** Returns a page of records to a replica that copies them. */
    public void onPageRequest(final RecordPageRequest request, final Consumer<Message> callback) {
        if (isIncomplete()) {
            callback.accept(new RecordPageResponse(false, List.of(), 0, null));
            return;
        }
        callback.accept(pageResponse(table.pageOfBuckets(request.buckets(), request.afterKey())));
    }

    private RecordPageResponse pageResponse(final KeyedRecordTable.Page page) {
        final long now = wallClock.getAsLong();
        final List<AgedRecord> records = page.rows().stream()
                .map(row -> new AgedRecord(row.keyedRecord(), Math.max(0, now - row.writtenAt()), row.retentionMs()))
                .toList();
        return new RecordPageResponse(true, records, KeyedRecordTable.checksumOf(records), page.nextKey());
    }

    /** Prepares a standby to vote. {@code then} gets whether the records of some voter were copied here recently. */
    public void prepareStandby(final Consumer<Boolean> then) {
        recovery.prepareStandby(then);
    }

    /**
     * Removes the incomplete mark after enough voters have been copied. The replica is complete once this is synced.
     */
    @Override
    public void onRecovered(final Consumer<Boolean> then) {
        final Map<String, byte[]> rows = new HashMap<>();
        rows.put(INCOMPLETE_KEY, null);
        clearingIncomplete = true;
        storage.save(rows, ok -> {
            clearingIncomplete = false;
            incomplete &= !ok;
            then.accept(ok);
        });
    }

    @Override
    public void raiseTokenFloors(final Map<Integer, FencingToken> otherFloors) {
        final Map<String, byte[]> rows = new HashMap<>();
        otherFloors.forEach((shard, token) -> {
            if (tokenFloors.getOrDefault(shard, FencingToken.ZERO).isBelow(token)) {
                tokenFloors.put(shard, token);
                lastReaders.remove(shard);
                syncedFloors.remove(shard);
                rows.put(
                        TOKEN_FLOOR_PREFIX + shard,
                        MessageCodec.encode(new TokenFloor(token.term(), token.count(), "")));
            }
        });
        saveRows(rows, ok -> {});
    }

    @Override
    public void mergeRecords(final List<AgedRecord> records) {
        final Map<String, byte[]> rows = new HashMap<>();
        records.forEach(record -> {
            final KeyedRecordTable.Row row = mergedRow(record);
            table.put(row);
            rows.put(RECORD_PREFIX + row.keyedRecord().key(), MessageCodec.encode(row));
        });
        saveRows(rows, ok -> {});
    }

    @Override
    public List<Long> checksums() {
        return table.bucketSums();
    }

    @Override
    public RecordHandoverResponse page(final List<Long> otherChecksums, final String afterKey) {
        final List<Integer> buckets = table.differingBuckets(otherChecksums).stream()
                .filter(bucket -> afterKey == null || bucket >= KeyedRecordTable.bucket(afterKey))
                .toList();
        final String firstKey =
                afterKey == null || buckets.isEmpty() || buckets.get(0) != KeyedRecordTable.bucket(afterKey)
                        ? null
                        : afterKey;
        return new RecordHandoverResponse(
                Map.copyOf(tokenFloors), pageResponse(table.pageOfBuckets(buckets, firstKey)));
    }

    @Override
    public boolean mergePage(final RecordHandoverResponse response) {
        if (!KeyedRecordTable.isIntact(response.page())) {
            journal.add(Event.of(
                    EventCode.RECORDS_BAD, "records", response.page().records().size()));
            return false;
        }
        raiseTokenFloors(response.tokenFloors());
        mergeRecords(response.page().records());
        return true;
    }

    /**
     * The token floors without their readers, and the removal of the incomplete mark. No shard has been read in the
     * epoch that begins, so every holder has to read its shards again.
     */
    @Override
    public Map<String, byte[]> handoverRows() {
        final Map<String, byte[]> rows = new HashMap<>();
        tokenFloors.forEach((shard, token) -> rows.put(
                TOKEN_FLOOR_PREFIX + shard, MessageCodec.encode(new TokenFloor(token.term(), token.count(), ""))));
        rows.put(INCOMPLETE_KEY, null);
        return rows;
    }

    @Override
    public void onJoined() {
        lastReaders.clear();
        syncedFloors.clear();
        incomplete = false;
    }

    private KeyedRecordTable.Row mergedRow(final AgedRecord copied) {
        final long writtenAt = wallClock.getAsLong() - copied.ageMs();
        final KeyedRecordTable.Row stored = table.get(copied.keyedRecord().key());
        return stored == null
                ? new KeyedRecordTable.Row(copied.keyedRecord(), writtenAt, copied.retentionMs())
                : new KeyedRecordTable.Row(
                        KeyedRecord.resolve(List.of(stored.keyedRecord(), copied.keyedRecord())),
                        Math.max(stored.writtenAt(), writtenAt),
                        Math.max(stored.retentionMs(), copied.retentionMs()));
    }

    private void saveRow(final String key, final Object row, final Consumer<Boolean> then) {
        saveRows(Map.of(key, MessageCodec.encode(row)), then);
    }

    /** While the replica is incomplete, each save includes the incomplete mark. */
    private void saveRows(final Map<String, byte[]> rowsToSave, final Consumer<Boolean> then) {
        final Map<String, byte[]> rows = new HashMap<>(rowsToSave);
        rows.putAll(incompleteRows());
        if (!rows.isEmpty()) {
            storage.save(rows, then);
        }
    }

    private void removeExpired() {
        final long now = wallClock.getAsLong();
        final long retentionMs = retention.retentionMs();
        final List<String> expired = table.rows().stream()
                .filter(row -> row.isExpired(now, retentionMs))
                .map(row -> row.keyedRecord().key())
                .toList();
        final Map<String, byte[]> rows = new HashMap<>();
        expired.forEach(key -> {
            table.remove(key);
            rows.put(RECORD_PREFIX + key, null);
        });
        if (!rows.isEmpty()) {
            storage.save(rows, ok -> {});
        }
    }
}
