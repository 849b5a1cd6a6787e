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
 * One node's questions to one voter of one epoch: whether it lacks items, and if so, which. One question is open at a
 * time, however many callers wait for it, so that a busy voter does not get more to answer the later it answers. Who
 * asks meanwhile is served by one further question, sent when the open one has ended; a question that is not answered
 * for a while does not hold up the next digest, which is small.
 */
final class VoterQuery {
    private static final long DIGEST_TIMEOUT_MILLIS = 700;
    private static final long ITEMS_TIMEOUT_MILLIS = 1000;
    /** After this time without an answer a further digest is sent. */
    private static final long OVERDUE_MS = 300;

    /** How many versions one request names, about. */
    private static final long MAX_VERSIONS = 16_384;

    private final NodeId voter;
    private final long epoch;
    private final EventLoop loop;
    private final Transport transport;
    private final ItemStore items;
    private final ViewWaitReport report;
    private final Listener listener;
    private long newest;
    private long askedAt;
    private boolean open;
    private boolean itemsOpen;
    private boolean askAgain;
    private boolean cancelled;

    /** What the answers say. */
    interface Listener {
        void onReply(NodeId voter, Reply reply);

        void onItems(NodeId voter, MissingItemsResponse response);

        /** The node held all that the voter had accepted at {@code sentAt}. */
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

    /** No further question is sent. */
    void cancel() {
        cancelled = true;
    }

    /** Asks now, or as soon as the open question has ended. */
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
        sendDigest(++newest);
    }

    private void sendDigest(final long question) {
        final long sentAt = loop.now();
        report.onQuery();
        transport.request(voter, digestRequest(), DIGEST_TIMEOUT_MILLIS, reply -> {
            report.onAnswer();
            listener.onReply(voter, reply);
            reply.as(DigestResponse.class)
                    .ifPresentOrElse(response -> onDigest(question, sentAt, response), () -> onEnd(question));
        });
    }

    private DigestRequest digestRequest() {
        final int buckets = ItemDigest.bucketCount(items.all().size());
        return new DigestRequest(epoch, items.digest().total(), buckets == ItemDigest.BUCKETS ? null : buckets);
    }

    /** Buckets that did not differ were equal after the request was sent, so its send time counts for all. */
    private void onDigest(final long question, final long sentAt, final DigestResponse response) {
        final int bucketCount =
                response.matches() ? ItemDigest.BUCKETS : response.bucketSums().size();
        if (!ItemDigest.isBucketCount(bucketCount)) {
            onEnd(question);
            return;
        }
        final List<Integer> differing =
                response.matches() ? List.of() : items.digest().differingBuckets(response.bucketSums());
        if (differing.isEmpty()) {
            listener.onConfirmed(voter, epoch, sentAt);
            onEnd(question);
        } else if (itemsOpen) {
            open &= question != newest;
            askAgain = true;
        } else {
            requestItems(question, sentAt, differing, bucketCount);
        }
    }

    private void requestItems(
            final long question, final long sentAt, final List<Integer> differing, final int bucketCount) {
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
                    onEnd(question);
                });
    }

    /** Buckets whose versions fit into a message, beginning at another one each time. */
    private List<Integer> bucketsOfOneRequest(final List<Integer> differing, final int bucketCount) {
        final int most = (int)
                Math.max(1, bucketCount * MAX_VERSIONS / Math.max(1, items.all().size()));
        if (differing.size() <= most) {
            return differing;
        }
        final List<Integer> rotated = new ArrayList<>(differing);
        Collections.rotate(rotated, (int) (newest % rotated.size()));
        return rotated.subList(0, most);
    }

    private void onEnd(final long question) {
        open &= question != newest;
        if (!open && askAgain && !itemsOpen) {
            ask();
        }
    }
}
