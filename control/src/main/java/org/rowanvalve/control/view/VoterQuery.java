package org.rowanvalve.control.view;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.rowanvalve.common.message.DigestRequest;
import org.rowanvalve.common.message.DigestResponse;
import org.rowanvalve.common.message.MissingItemsRequest;
import org.rowanvalve.common.message.MissingItemsResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.store.ItemDigest;
import org.rowanvalve.control.store.ItemStore;

/**
 * The requests of one node to one voter of one epoch, which find out whether the node lacks items and fetch them. Only
 * one request is open at a time, however many callers wait for it, so that the load of a slow voter does not grow with
 * its response time. Calls during an open request share one further request, which is sent after the open one has
 * ended. A request that remains unanswered for {@link #OVERDUE_MS} does not delay the next digest, which is small.
 */
final class VoterQuery {
    private static final long DIGEST_TIMEOUT_MILLIS = 700;
    private static final long ITEMS_TIMEOUT_MILLIS = 1000;
    /** If a request is not answered within this time, a further digest request may be sent. */
    private static final long OVERDUE_MS = 300;

    /** The approximate upper bound of the item versions in one request. */
    private static final long MAX_VERSIONS = 16_384;

    private final NodeId voter;
    private final long epoch;
    private final EventLoop loop;
    private final Transport transport;
    private final ItemStore items;
    private final ViewWaitReport report;
    private final Listener listener;
    private long lastRequestId;
    private long askedAt;
    private boolean open;
    private boolean itemsOpen;
    private boolean askAgain;
    private boolean cancelled;

    /** Receives the results of the requests. */
    interface Listener {
        void onReply(NodeId voter, Reply reply);

        void onItems(NodeId voter, MissingItemsResponse response);

        /** Called when the node had every item that the voter had accepted at {@code sentAt}. */
        void onConfirmed(NodeId voter, long epoch, long sentAt);
    }

    VoterQuery(
            final NodeId voter,
            final long epoch,
            final EventLoop loop,
            final Transport transport,
            final ItemStore items,
            final ViewWaitReport report,
            final Listener listener) {
        this.voter = voter;
        this.epoch = epoch;
        this.loop = loop;
        this.transport = transport;
        this.items = items;
        this.report = report;
        this.listener = listener;
    }

    /** Prevents further requests. */
    void cancel() {
        cancelled = true;
    }

    /** Sends a digest request now, or after the open request has ended. */
    void ask() {
        if (cancelled) {
            return;
        }
        if ((open || itemsOpen) && loop.now() - askedAt < OVERDUE_MS) {
            askAgain = true;
            return;
        }
        open = true;
        askAgain = false;
        askedAt = loop.now();
        sendDigest(++lastRequestId);
    }

    private void sendDigest(final long requestId) {
        final long sentAt = loop.now();
        report.onQuery();
        transport.request(voter, digestRequest(), DIGEST_TIMEOUT_MILLIS, reply -> {
            report.onAnswer();
            listener.onReply(voter, reply);
            reply.as(DigestResponse.class)
                    .ifPresentOrElse(response -> onDigest(requestId, sentAt, response), () -> onEnd(requestId));
        });
    }

    private DigestRequest digestRequest() {
        final int buckets = ItemDigest.bucketCount(items.all().size());
        return new DigestRequest(epoch, items.digest().total(), buckets == ItemDigest.BUCKETS ? null : buckets);
    }

    /**
     * Compares the checksums of the buckets. Buckets that do not differ were equal after the digest request was sent, so
     * the send time of that request is valid for all buckets once the differing ones have been fetched.
     */
    private void onDigest(final long requestId, final long sentAt, final DigestResponse response) {
        final int bucketCount =
                response.matches() ? ItemDigest.BUCKETS : response.bucketSums().size();
        if (!ItemDigest.isBucketCount(bucketCount)) {
            onEnd(requestId);
            return;
        }
        final List<Integer> differing =
                response.matches() ? List.of() : items.digest().differingBuckets(response.bucketSums());
        if (differing.isEmpty()) {
            listener.onConfirmed(voter, epoch, sentAt);
            onEnd(requestId);
        } else if (itemsOpen) {
            open &= requestId != lastRequestId;
            askAgain = true;
        } else {
            requestItems(requestId, sentAt, differing, bucketCount);
        }
    }

    private void requestItems(
            final long requestId, final long sentAt, final List<Integer> differing, final int bucketCount) {
        itemsOpen = true;
        report.onQuery();
        final List<Integer> buckets = bucketsOfOneRequest(differing, bucketCount);
        transport.request(
                voter,
                new MissingItemsRequest(
                        epoch,
                        buckets,
                        items.versions(buckets, bucketCount),
                        bucketCount == ItemDigest.BUCKETS ? null : bucketCount),
                ITEMS_TIMEOUT_MILLIS,
                reply -> {
                    itemsOpen = false;
                    report.onAnswer();
                    reply.as(MissingItemsResponse.class).ifPresent(response -> {
                        listener.onItems(voter, response);
                        if (!response.complete()) {
                            askAgain |= !response.items().isEmpty();
                            return;
                        }
                        if (buckets.size() == differing.size()) {
                            listener.onConfirmed(voter, epoch, sentAt);
                        } else {
                            askAgain = true;
                        }
                    });
                    onEnd(requestId);
                });
    }

    /** Selects buckets whose versions fit into one message, starting at a different bucket for each request. */
    private List<Integer> bucketsOfOneRequest(final List<Integer> differing, final int bucketCount) {
        final int maxBuckets = (int)
                Math.max(1, bucketCount * MAX_VERSIONS / Math.max(1, items.all().size()));
        if (differing.size() <= maxBuckets) {
            return differing;
        }
        final List<Integer> rotated = new ArrayList<>(differing);
        Collections.rotate(rotated, (int) (lastRequestId % rotated.size()));
        return rotated.subList(0, maxBuckets);
    }

    private void onEnd(final long requestId) {
        open &= requestId != lastRequestId;
        if (!open && askAgain && !itemsOpen) {
            ask();
        }
    }
}
