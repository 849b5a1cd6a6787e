package org.rowanvalve.control.operator;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.control.consensus.Proposer;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.store.ItemStore;
import org.rowanvalve.control.view.ViewSynchronizer;

/**
 * Registers origins that send heartbeats. An item is written only when the state of an origin changes; the times of the
 * heartbeats are kept in the memory of the node that receives them.
 */
public final class OriginRegistry {
    private static final long WRITE_TIMEOUT_MILLIS = 900;
    private static final long CONFIRMATION_TIMEOUT_MILLIS = 700;
    private static final long RETRY_AFTER_MS = 300;
    /** The number of ends without a heartbeat that are kept at a time; each takes an item until it is collected. */
    static final int MAX_ENDED_UNSEEN = 1000;

    private final EventLoop loop;
    private final ItemStore items;
    private final ViewSynchronizer view;
    private final Proposer proposer;
    private final EventJournal journal;
    private final Supplier<String> writeIds;
    private final Map<ItemId, Long> lastHeardAt = new HashMap<>();

    public OriginRegistry(
            final EventLoop loop,
            final ItemStore items,
            final ViewSynchronizer view,
            final Proposer proposer,
            final EventJournal journal,
            final Supplier<String> writeIds) {
        this.loop = loop;
        this.items = items;
        this.view = view;
        this.proposer = proposer;
        this.journal = journal;
        this.writeIds = writeIds;
    }

    private static boolean isUnchanged(final Origin registered, final Origin announced) {
        return registered.isSameProcess(announced)
                && registered.draining() == announced.draining()
                && registered.slots() == announced.slots()
                && registered.location().equals(announced.location());
    }

    private static ApiResponse done(final String name) {
        return ApiResponse.done("origin", name);
    }

    private static ApiResponse unavailable(final String reason) {
        return ApiResponse.unavailable(reason, RETRY_AFTER_MS);
    }

    private Optional<Origin> registered(final ItemId id) {
        return Optional.of(items.get(id)).filter(Item::exists).map(item -> Json.read(item.body(), Origin.class));
    }

    /**
     * Handles a heartbeat. One that {@link Origin#supersedes does not supersede} the registered state changes nothing, so an
     * origin that has left cannot return. A change is written; a leave that changes nothing is acknowledged only in contact
     * with a majority.
     */
    public void onHeartbeat(final String name, final Origin announced, final Consumer<ApiResponse> callback) {
        if (!view.isFresh()) {
            callback.accept(unavailable("this node's frame is not confirmed"));
            return;
        }
        final ItemId id = new ItemId(ItemKind.ORIGIN, name);
        final Origin registered = registered(id).orElse(null);
        lastHeardAt.put(id, items.now());
        if (registered == null || announced.supersedes(registered) && !isUnchanged(registered, announced)) {
            writeOrigin(id, announced, callback);
        } else if (announced.draining()) {
            whenConfirmed(() -> callback.accept(done(name)), callback);
        } else {
            callback.accept(done(name));
        }
    }

    /**
     * Handles the end of an origin, whether detected or announced by the origin itself. Like a leave, the end is
     * permanent, also if it arrives before the first heartbeat: it is acknowledged once a majority stores it. A repeat, at
     * any node, is acknowledged again.
     */
    public void onEnd(final String name, final Consumer<ApiResponse> callback) {
        final ItemId id = new ItemId(ItemKind.ORIGIN, name);
        lastHeardAt.remove(id);
        if (registered(id).filter(origin -> !origin.draining()).isPresent() && view.isFresh()) {
            drain(id, callback);
        } else {
            whenConfirmed(() -> drain(id, callback), callback);
        }
    }

    /** Runs {@code action} once a majority has confirmed this node's view as of the time of the call or later. */
    private void whenConfirmed(final Runnable action, final Consumer<ApiResponse> callback) {
        if (!view.isFresh()) {
            callback.accept(unavailable("this node's frame is not confirmed"));
            return;
        }
        view.awaitConfirmation(loop.now(), CONFIRMATION_TIMEOUT_MILLIS, ok -> {
            if (ok) {
                action.run();
            } else {
                callback.accept(unavailable("no majority answered"));
            }
        });
    }

    private void drain(final ItemId id, final Consumer<ApiResponse> callback) {
        final Origin registered = registered(id).orElse(null);
        if (registered == null && endedUnseenCount() >= MAX_ENDED_UNSEEN) {
            callback.accept(unavailable("too many origins ended without a heartbeat"));
        } else if (registered == null) {
            writeOrigin(id, Origin.endedUnseen(id.name()), callback);
        } else if (registered.draining()) {
            callback.accept(done(id.name()));
        } else {
            writeOrigin(id, registered.ended(), callback);
        }
    }

    private long endedUnseenCount() {
        return items.all().stream()
                .map(ChosenItem::item)
                .filter(item -> item.exists() && item.id().kind() == ItemKind.ORIGIN)
                .filter(item -> Json.read(item.body(), Origin.class).isEndedUnseen())
                .count();
    }

    private void writeOrigin(final ItemId id, final Origin announced, final Consumer<ApiResponse> callback) {
        final Consumer<ApiResponse> singleResponse = ResponseDeadline.withDeadline(
                loop, view, () -> unavailable("no majority confirmed it in time"), callback);
        final String writeId = writeIds.get();
        proposer.propose(
                id,
                writeId,
                WRITE_TIMEOUT_MILLIS,
                current -> {
                    final Origin registered = current.exists() ? Json.read(current.body(), Origin.class) : null;
                    if (registered != null && !announced.supersedes(registered)) {
                        return Optional.of(current);
                    }
                    final Item next = current.successor(Json.write(announced), writeId);
                    return Optional.of(new Item(id, items.nextVersion(next), next.body(), false, writeId));
                },
                result -> {
                    if (result.isAccepted()) {
                        journal.add(Event.of(
                                announced.draining() ? EventCode.ORIGIN_LEFT : EventCode.ORIGIN_SEEN,
                                "origin",
                                id.name(),
                                "service",
                                announced.service(),
                                "ver",
                                result.item().version().number()));
                    }
                    singleResponse.accept(
                            result.isAccepted() ? done(id.name()) : unavailable("no majority confirmed it"));
                });
    }

    /** Time since this node last heard from each origin, in ms. */
    public Map<ItemId, Long> agesMs() {
        final Map<ItemId, Long> ages = new HashMap<>();
        lastHeardAt.forEach((id, heardAt) -> ages.put(id, items.now() - heardAt));
        return ages;
    }
}
