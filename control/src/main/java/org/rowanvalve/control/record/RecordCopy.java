package org.rowanvalve.control.record;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.AgedRecord;
import org.rowanvalve.common.message.RecordChecksumsRequest;
import org.rowanvalve.common.message.RecordChecksumsResponse;
import org.rowanvalve.common.message.RecordPageRequest;
import org.rowanvalve.common.message.RecordPageResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;

/**
 * Copies the records that other replicas hold and this one lacks: first the checksums of all buckets, then pages of the
 * buckets that differ, from one replica after the other. A page that is late or whose checksum is wrong is requested
 * again, and only that one; a slow replica moves behind the others. What has been copied is not requested again.
 */
final class RecordCopy {
    private static final long FIRST_TIMEOUT_MILLIS = 1000;
    private static final long LONGEST_TIMEOUT_MILLIS = 8000;
    private static final long PAUSE_MS = 250;
    private static final long EMPTY_SOURCE_PAUSE_MS = 1000;
    private static final int FAILURES_BEFORE_SWITCH = 3;
    /** Pages requested at a time; more would delay other messages of the connection. */
    private static final int PARALLEL_PAGES = 2;

    private final EventLoop loop;
    private final Transport transport;
    private final EventJournal journal;
    private final KeyedRecordTable table;
    private final long epoch;
    private final RecordChecksumsRequest checksumsRequest;
    private final BiPredicate<Set<NodeId>, Set<NodeId>> enough;
    private final Sink sink;
    private final Map<NodeId, Source> sources = new LinkedHashMap<>();
    private final Deque<Source> queue = new ArrayDeque<>();
    private final Set<NodeId> copied = new HashSet<>();
    private final Set<NodeId> withoutRecords = new HashSet<>();
    private final long startedAt;
    private Source active;
    private boolean finished;
    private int pages;
    private int records;

    /** Receives what was copied. */
    interface Sink {
        void tokenFloors(Map<Integer, FencingToken> bars);

        void records(List<AgedRecord> notes);

        /** Every replica that counts has been copied. */
        void onComplete();
    }

    private static final class Source {
        private final NodeId id;
        private final List<Lane> lanes = new ArrayList<>();
        private List<Long> sums = List.of();
        private int failures;

        Source(final NodeId id) {
            this.id = id;
        }

        long timeoutMs() {
            return Math.min(LONGEST_TIMEOUT_MILLIS, FIRST_TIMEOUT_MILLIS << Math.min(failures, 3));
        }

        long pauseMs() {
            return PAUSE_MS << Math.min(failures, 2);
        }
    }

    /**
     * Buckets that are copied one page after the other; {@code afterKey}: the last key received of the first of them,
     * or null.
     */
    private static final class Lane {
        private List<Integer> buckets;
        private String afterKey;
        private boolean requested;

        Lane(final List<Integer> buckets) {
            this.buckets = buckets;
        }
    }

    /**
     * {@code requester}: this start of this voter; {@code endEra}: whether the others' eras end for it; {@code enough}:
     * whether the replicas that were copied, and those that reported to have no records, suffice.
     */
    RecordCopy(
            final EventLoop loop,
            final Transport transport,
            final EventJournal journal,
            final KeyedRecordTable table,
            final long epoch,
            final String requester,
            final boolean endEra,
            final BiPredicate<Set<NodeId>, Set<NodeId>> enough,
            final Sink sink) {
        this.loop = loop;
        this.transport = transport;
        this.journal = journal;
        this.table = table;
        this.epoch = epoch;
        this.checksumsRequest = new RecordChecksumsRequest(epoch, requester, endEra);
        this.enough = enough;
        this.sink = sink;
        this.startedAt = loop.now();
    }

    void start(final List<NodeId> from) {
        from.forEach(id -> sources.put(id, new Source(id)));
        sources.values().forEach(this::requestChecksums);
    }

    void stop() {
        finished = true;
    }

    private void requestChecksums(final Source source) {
        if (finished) {
            return;
        }
        transport.request(source.id, checksumsRequest, source.timeoutMs(), reply -> onChecksums(source, reply));
    }

    private void onChecksums(final Source source, final Reply reply) {
        if (finished) {
            return;
        }
        final RecordChecksumsResponse response =
                reply.as(RecordChecksumsResponse.class).orElse(null);
        if (response == null || response.complete() && response.checksums().size() != KeyedRecordTable.BUCKETS) {
            source.failures++;
            loop.schedule(source.pauseMs(), () -> requestChecksums(source));
        } else if (!response.complete()) {
            withoutRecords.add(source.id);
            loop.schedule(EMPTY_SOURCE_PAUSE_MS, () -> requestChecksums(source));
            checkFinished();
        } else {
            withoutRecords.remove(source.id);
            source.failures = 0;
            source.sums = response.checksums();
            sink.tokenFloors(response.tokenFloors());
            queue.add(source);
            startNext();
        }
    }

    /** One replica at a time: what the first has given need not be requested from the next. */
    private void startNext() {
        if (finished || active != null || queue.isEmpty()) {
            return;
        }
        final Source source = queue.poll();
        active = source;
        if (source.lanes.isEmpty()) {
            openLanes(source);
        } else {
            narrowLanes(source);
        }
        continueCopy(source);
    }

    /** The buckets that differ, divided so that a page is on its way while the next is requested. */
    private void openLanes(final Source source) {
        final List<Integer> differing = table.differingBuckets(source.sums);
        final int share = (differing.size() + PARALLEL_PAGES - 1) / PARALLEL_PAGES;
        for (int from = 0; from < differing.size(); from += share) {
            source.lanes.add(new Lane(differing.subList(from, Math.min(differing.size(), from + share))));
        }
    }

    /** Another replica has given something meanwhile; a bucket in the midst of which the last page ended is kept. */
    private void narrowLanes(final Source source) {
        final Set<Integer> differing = new HashSet<>(table.differingBuckets(source.sums));
        source.lanes.forEach(lane -> lane.buckets = lane.buckets.stream()
                .filter(c ->
                        differing.contains(c) || lane.afterKey != null && c == KeyedRecordTable.bucket(lane.afterKey))
                .toList());
    }

    private void continueCopy(final Source source) {
        source.lanes.removeIf(lane -> lane.buckets.isEmpty() && !lane.requested);
        if (source.lanes.isEmpty()) {
            active = null;
            copied.add(source.id);
            checkFinished();
            startNext();
        } else {
            List.copyOf(source.lanes).forEach(lane -> requestPage(source, lane));
        }
    }

    private void requestPage(final Source source, final Lane lane) {
        if (finished || active != source || lane.requested || lane.buckets.isEmpty()) {
            return;
        }
        lane.requested = true;
        transport.request(
                source.id, new RecordPageRequest(epoch, lane.buckets, lane.afterKey), source.timeoutMs(), reply -> {
                    lane.requested = false;
                    if (!finished) {
                        onPage(source, lane, reply);
                    }
                });
    }

    private void onPage(final Source source, final Lane lane, final Reply reply) {
        final RecordPageResponse response = reply.as(RecordPageResponse.class).orElse(null);
        if (response == null || response.complete() && !isIntact(source, lane, response)) {
            onFailure(source, lane);
        } else if (!response.complete()) {
            onSourceEmptied(source);
        } else {
            onRecords(source, lane, response);
        }
    }

    /** The source has lost its own records: it is copied from the beginning once it has them again. */
    private void onSourceEmptied(final Source source) {
        source.lanes.clear();
        if (active == source) {
            active = null;
            requestChecksums(source);
            startNext();
        }
    }

    private boolean isIntact(final Source source, final Lane lane, final RecordPageResponse response) {
        final boolean intact = KeyedRecordTable.isIntact(response)
                && (response.nextKey() == null || lane.buckets.contains(KeyedRecordTable.bucket(response.nextKey())));
        if (!intact) {
            journal.add(Event.of(
                    EventCode.RECORDS_BAD,
                    "from",
                    source.id.text(),
                    "records",
                    response.records().size()));
        }
        return intact;
    }

    private void onFailure(final Source source, final Lane lane) {
        source.failures++;
        if (active == source && source.failures % FAILURES_BEFORE_SWITCH == 0 && !queue.isEmpty()) {
            active = null;
            queue.add(source);
            startNext();
        } else {
            loop.schedule(source.pauseMs(), () -> requestPage(source, lane));
        }
    }

    private void onRecords(final Source source, final Lane lane, final RecordPageResponse response) {
        pages++;
        records += response.records().size();
        source.failures = 0;
        sink.records(response.records());
        lane.afterKey = response.nextKey();
        lane.buckets = response.nextKey() == null
                ? List.of()
                : bucketsFrom(lane.buckets, KeyedRecordTable.bucket(response.nextKey()));
        if (active == source) {
            continueCopy(source);
        }
    }

    private static List<Integer> bucketsFrom(final List<Integer> cells, final int from) {
        return new ArrayList<>(cells.subList(cells.indexOf(from), cells.size()));
    }

    private void checkFinished() {
        if (!finished && enough.test(copied, withoutRecords)) {
            finished = true;
            journal.add(Event.of(
                    EventCode.RECORDS_COPIED, "records", records, "pages", pages, "ms", loop.now() - startedAt));
            sink.onComplete();
        }
    }
}
