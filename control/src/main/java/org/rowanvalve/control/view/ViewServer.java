package org.rowanvalve.control.view;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.DigestRequest;
import org.rowanvalve.common.message.DigestResponse;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.MissingItemsRequest;
import org.rowanvalve.common.message.MissingItemsResponse;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.Version;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.control.consensus.Acceptor;
import org.rowanvalve.control.consensus.UnchosenValues;
import org.rowanvalve.control.store.ItemDigest;
import org.rowanvalve.control.store.ItemPage;
import org.rowanvalve.control.store.ItemStore;

/** The voter side of view confirmation: compares the items of a requesting node with those accepted by this voter. */
public final class ViewServer {
    /** Upper bound of the items that this voter requests in one response. */
    private static final int MAX_WANTED = 200;

    private static final long POLL_MS = 10;
    private static final long MAX_WAIT_MS = 300;

    /** An accepted value that was not known as chosen when the request arrived. */
    private record Accepted(ItemId id, Version version) {}

    private final Acceptor acceptor;
    private final ItemStore items;
    private final EventLoop loop;
    private final UnchosenValues unchosen;

    public ViewServer(final Acceptor acceptor, final ItemStore items, final EventLoop loop) {
        this.acceptor = acceptor;
        this.items = items;
        this.loop = loop;
        this.unchosen = new UnchosenValues(acceptor, items);
    }

    /** Responds whether the sender has every item that this voter has accepted. */
    public void onDigestRequest(final DigestRequest request, final Consumer<Message> callback) {
        final boolean matches = request.digest() == acceptor.digest().total();
        callback.accept(acceptor.rejection(request.epoch())
                .orElseGet(() -> new DigestResponse(
                        matches,
                        matches
                                ? List.of()
                                : acceptor.digest().bucketSums(ItemDigest.bucketCount(request.bucketCount())))));
    }

    /** Responds with the items that the sender lacks, after the open writes have completed or the time-out has passed. */
    public void onMissingItemsRequest(final MissingItemsRequest request, final Consumer<Message> callback) {
        final Optional<Message> rejection = acceptor.rejection(request.epoch());
        if (rejection.isPresent()) {
            callback.accept(rejection.get());
            return;
        }
        awaitOpenWrites(request, openWrites(request), loop.now() + MAX_WAIT_MS, callback);
    }

    private Deque<Accepted> openWrites(final MissingItemsRequest request) {
        final Deque<Accepted> open = new ArrayDeque<>();
        final Set<Integer> buckets = Set.copyOf(request.buckets());
        final int bucketCount = ItemDigest.bucketCount(request.bucketCount());
        for (final ItemId id : unchosen.ids()) {
            final Version version = acceptor.version(id);
            final boolean isRenewal =
                    id.equals(ItemId.LEADERSHIP) && items.get(id).version().number() > 0;
            if (!isRenewal
                    && buckets.contains(ItemDigest.bucket(id, bucketCount))
                    && version.isAbove(request.versions().getOrDefault(id, Version.ZERO))) {
                open.add(new Accepted(id, version));
            }
        }
        return open;
    }

    /**
     * Waits for the values in {@code open}, which were accepted by this voter but not known as chosen when the request
     * arrived; later writes are not waited for. All of these values must be settled, so each poll stops at the first one
     * that is not.
     */
    private void awaitOpenWrites(
            final MissingItemsRequest request,
            final Deque<Accepted> open,
            final long cutoff,
            final Consumer<Message> callback) {
        while (!open.isEmpty() && isSettled(open.peek())) {
            open.remove();
        }
        if (!open.isEmpty() && loop.now() < cutoff) {
            loop.schedule(POLL_MS, () -> awaitOpenWrites(request, open, cutoff, callback));
        } else {
            respond(request, open.isEmpty(), callback);
        }
    }

    private boolean isSettled(final Accepted accepted) {
        return items.knows(accepted.id(), accepted.version())
                || items.collectionFloor()
                        .covers(accepted.id(), accepted.version().number());
    }

    private void respond(
            final MissingItemsRequest request, final boolean noOpenWrites, final Consumer<Message> callback) {
        final ItemPage page = ItemPage.of(missingItems(request));
        final boolean complete = page.complete()
                && noOpenWrites
                && acceptor.rejection(request.epoch()).isEmpty();
        final List<ItemId> wanted = request.versions().entrySet().stream()
                .filter(entry -> !items.knows(entry.getKey(), entry.getValue())
                        && !items.collectionFloor()
                                .covers(entry.getKey(), entry.getValue().number())
                        && entry.getValue().isAbove(acceptor.version(entry.getKey())))
                .map(Map.Entry::getKey)
                .limit(MAX_WANTED)
                .toList();
        callback.accept(new MissingItemsResponse(page.items(), complete, wanted));
    }

    private List<ChosenItem> missingItems(final MissingItemsRequest request) {
        return items.chosenItems(
                request.buckets(),
                ItemDigest.bucketCount(request.bucketCount()),
                item -> item.version().isAbove(request.versions().getOrDefault(item.id(), Version.ZERO)));
    }
}
