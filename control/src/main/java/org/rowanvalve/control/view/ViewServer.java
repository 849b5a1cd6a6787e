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

/** The voters' side of view confirmation: compares another node's items with those accepted here. */
public final class ViewServer {
    private static final int MAX_WANTED = 200;
    private static final long POLL_MS = 10;
    private static final long MAX_WAIT_MS = 300;
    /** A value that was accepted and was not known as chosen. */
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

    /** Answers whether the sender holds all that this voter has accepted. */
    public void onDigestRequest(final DigestRequest request, final Consumer<Message> callback) {
        final boolean matches = request.digest() == acceptor.digest().total();
        callback.accept(acceptor.rejection(request.epoch())
                .orElseGet(() -> new DigestResponse(
                        matches,
                        matches
                                ? List.of()
                                : acceptor.digest().bucketSums(ItemDigest.bucketCount(request.bucketCount())))));
    }

    /** Answers with the items that the sender lacks, once open writes are settled or the time-out has passed. */
    public void onMissingItemsRequest(final MissingItemsRequest request, final Consumer<Message> callback) {
        final Optional<Message> refusal = acceptor.rejection(request.epoch());
        if (refusal.isPresent()) {
            callback.accept(refusal.get());
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
            final boolean renewal =
                    id.equals(ItemId.LEADERSHIP) && items.get(id).version().number() > 0;
            if (!renewal
                    && buckets.contains(ItemDigest.bucket(id, bucketCount))
                    && version.isAbove(request.versions().getOrDefault(id, Version.ZERO))) {
                open.add(new Accepted(id, version));
            }
        }
        return open;
    }

    /**
     * Waits for what was accepted here and not known as chosen when the request came; later writes are not waited for.
     * All of it has to be settled, so the first one that is not is enough to look at.
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
        final boolean all = page.complete()
                && noOpenWrites
                && acceptor.rejection(request.epoch()).isEmpty();
        final List<ItemId> want = request.versions().entrySet().stream()
                .filter(entry -> !items.knows(entry.getKey(), entry.getValue())
                        && !items.collectionFloor()
                                .covers(entry.getKey(), entry.getValue().number())
                        && entry.getValue().isAbove(acceptor.version(entry.getKey())))
                .map(Map.Entry::getKey)
                .limit(MAX_WANTED)
                .toList();
        callback.accept(new MissingItemsResponse(page.items(), all, want));
    }

    private List<ChosenItem> missingItems(final MissingItemsRequest request) {
        return items.chosenItems(
                request.buckets(),
                ItemDigest.bucketCount(request.bucketCount()),
                item -> item.version().isAbove(request.versions().getOrDefault(item.id(), Version.ZERO)));
    }
}
