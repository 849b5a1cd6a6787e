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
 * Copies the records that other replicas store and this one lacks. It requests the checksums of all buckets from every
 * replica, and then pages of the buckets that differ from one replica after the other. A page that is late or has a
 * wrong checksum is requested again on its own, and a slow replica moves to the end of the queue. Records that have
 * been copied are not requested again.
 */
final class RecordCopy {
    private static final long INITIAL_TIMEOUT_MILLIS = 1000;
    private static final long MAX_TIMEOUT_MILLIS = 8000;
    private static final long RETRY_DELAY_MS = 250;
    private static final long INCOMPLETE_SOURCE_RETRY_MS = 1000;
    private static final int FAILURES_BEFORE_SWITCH = 3;
    /** Pages requested at a time. More of them would delay other messages of the same connection. */
    private static final int PARALLEL_PAGES = 2;

    private final EventLoop loop;
    private final Transport transport;
    private final EventJournal journal;
    private final KeyedRecordTable table;
    private final long epoch;
    private final RecordChecksumsRequest checksumsRequest;
    private final BiPredicate<Set<NodeId>, Set<NodeId>> sufficient;
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

    /** Receives the copied token floors and records. */
    interface Sink {
        void tokenFloors(Map<Integer, FencingToken> floors);

        void records(List<AgedRecord> copiedRecords);

        /** Called once enough replicas have been copied. */
        void onComplete();
    }

    /** A replica that records are copied from. */
    private static final class Source {
        private final NodeId id;
        private final List<PageStream> streams = new ArrayList<>();
        private List<Long> sums = List.of();
        private int failures;

        Source(final NodeId id) {
            this.id = id;
        }

        long timeoutMs() {
            return Math.min(MAX_TIMEOUT_MILLIS, INITIAL_TIMEOUT_MILLIS << Math.min(failures, 3));
        }

        long retryDelayMs() {
            return RETRY_DELAY_MS << Math.min(failures, 2);
        }
    }

    /**
     * A sequence of buckets whose pages are requested one after the other. {@code afterKey} is the last key received
     * from the first of the buckets, or null.
     */
    private static final class PageStream {
        private List<Integer> buckets;
        private String afterKey;
        private boolean requested;

        PageStream(final List<Integer> buckets) {
            this.buckets = buckets;
        }
    }

    /**
     * {@code requester} identifies this voter and its present run. {@code endEra} tells whether the sources end their
     * eras first. {@code sufficient} decides whether the copy is finished, given the replicas that have been copied and
     * those that reported to have lost their records.
     */
    RecordCopy(
            final EventLoop loop,
            final Transport transport,
            final EventJournal journal,
            final KeyedRecordTable table,
            final long epoch,
            final String requester,
            final boolean endEra,
            final BiPredicate<Set<NodeId>, Set<NodeId>> sufficient,
            final Sink sink) {
        this.loop = loop;
        this.transport = transport;
        this.journal = journal;
        this.table = table;
        this.epoch = epoch;
        this.checksumsRequest = new RecordChecksumsRequest(epoch, requester, endEra);
        this.sufficient = sufficient;
        this.sink = sink;
        this.startedAt = loop.now();
    }

    void start(final List<NodeId> sourceIds) {
        sourceIds.forEach(id -> sources.put(id, new Source(id)));
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
            loop.schedule(source.retryDelayMs(), () -> requestChecksums(source));
        } else if (!response.complete()) {
            withoutRecords.add(source.id);
            loop.schedule(INCOMPLETE_SOURCE_RETRY_MS, () -> requestChecksums(source));
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

    /**
     * Starts to copy the next source. Only one is active, so that records from it need not be requested from others.
     */
    private void startNext() {
        if (finished || active != null || queue.isEmpty()) {
            return;
        }
        final Source source = queue.poll();
        active = source;
        if (source.streams.isEmpty()) {
            openStreams(source);
        } else {
            narrowStreams(source);
        }
        continueCopy(source);
    }

    /** Divides the differing buckets into streams, so that one page can be in transit while another is requested. */
    private void openStreams(final Source source) {
        final List<Integer> differing = table.differingBuckets(source.sums);
        final int share = (differing.size() + PARALLEL_PAGES - 1) / PARALLEL_PAGES;
        for (int from = 0; from < differing.size(); from += share) {
            source.streams.add(new PageStream(differing.subList(from, Math.min(differing.size(), from + share))));
        }
    }

    /**
     * Drops the buckets that no longer differ, since records from another source may have completed them. A bucket that
     * the last page covered only in part is kept.
     */
    private void narrowStreams(final Source source) {
        final Set<Integer> differing = new HashSet<>(table.differingBuckets(source.sums));
        source.streams.forEach(stream -> stream.buckets = stream.buckets.stream()
                .filter(bucket -> differing.contains(bucket)
                        || stream.afterKey != null && bucket == KeyedRecordTable.bucket(stream.afterKey))
                .toList());
    }

    private void continueCopy(final Source source) {
        source.streams.removeIf(stream -> stream.buckets.isEmpty() && !stream.requested);
        if (source.streams.isEmpty()) {
            active = null;
            copied.add(source.id);
            checkFinished();
            startNext();
        } else {
            List.copyOf(source.streams).forEach(stream -> requestPage(source, stream));
        }
    }

    private void requestPage(final Source source, final PageStream stream) {
        if (finished || active != source || stream.requested || stream.buckets.isEmpty()) {
            return;
        }
        stream.requested = true;
        transport.request(
                source.id, new RecordPageRequest(epoch, stream.buckets, stream.afterKey), source.timeoutMs(), reply -> {
                    stream.requested = false;
                    if (!finished) {
                        onPage(source, stream, reply);
                    }
                });
    }

    private void onPage(final Source source, final PageStream stream, final Reply reply) {
        final RecordPageResponse response = reply.as(RecordPageResponse.class).orElse(null);
        if (response == null || response.complete() && !isIntact(source, stream, response)) {
            onFailure(source, stream);
        } else if (!response.complete()) {
            onSourceIncomplete(source);
        } else {
            onRecords(source, stream, response);
        }
    }

    /** The source has lost its own records. It is copied from the start once its records are complete again. */
    private void onSourceIncomplete(final Source source) {
        source.streams.clear();
        if (active == source) {
            active = null;
            requestChecksums(source);
            startNext();
        }
    }

    private boolean isIntact(final Source source, final PageStream stream, final RecordPageResponse response) {
        final boolean intact = KeyedRecordTable.isIntact(response)
                && (response.nextKey() == null || stream.buckets.contains(KeyedRecordTable.bucket(response.nextKey())));
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

    private void onFailure(final Source source, final PageStream stream) {
        source.failures++;
        if (active == source && source.failures % FAILURES_BEFORE_SWITCH == 0 && !queue.isEmpty()) {
            active = null;
            queue.add(source);
            startNext();
        } else {
            loop.schedule(source.retryDelayMs(), () -> requestPage(source, stream));
        }
    }

    private void onRecords(final Source source, final PageStream stream, final RecordPageResponse response) {
        pages++;
        records += response.records().size();
        source.failures = 0;
        sink.records(response.records());
        stream.afterKey = response.nextKey();
        stream.buckets = response.nextKey() == null
                ? List.of()
                : bucketsFrom(stream.buckets, KeyedRecordTable.bucket(response.nextKey()));
        if (active == source) {
            continueCopy(source);
        }
    }

    private static List<Integer> bucketsFrom(final List<Integer> buckets, final int first) {
        return new ArrayList<>(buckets.subList(buckets.indexOf(first), buckets.size()));
    }

    private void checkFinished() {
        if (!finished && sufficient.test(copied, withoutRecords)) {
            finished = true;
            journal.add(Event.of(
                    EventCode.RECORDS_COPIED, "records", records, "pages", pages, "ms", loop.now() - startedAt));
            sink.onComplete();
        }
    }
}
