package org.rowanvalve.control.operator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.RejectedResponse;
import org.rowanvalve.common.message.UpdateForwardRequest;
import org.rowanvalve.common.message.UpdateForwardResponse;
import org.rowanvalve.common.model.Hash;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.UpdateVerdict;
import org.rowanvalve.common.model.ValidationError;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.config.Purge;
import org.rowanvalve.control.consensus.Proposer;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.operator.UpdateLedger.Judgement;
import org.rowanvalve.control.store.ItemStore;
import org.rowanvalve.control.view.ViewSynchronizer;

/**
 * Operators' updates under versions that the operators choose: setting and deleting items, purging objects and reading
 * the configuration. Every response is based on a majority that was contacted after the request arrived; without a
 * majority the response is 503 with the time after which to retry.
 */
public final class UpdateService {
    private static final long WRITE_TIMEOUT_MILLIS = 2500;
    private static final long CONFIRMATION_TIMEOUT_MILLIS = 700;
    /**
     * Time without a response from the preferred sequencer after which this node processes an update itself, unless the
     * update is known to be recorded.
     */
    private static final long FORWARD_TIMEOUT_MILLIS = 500;

    private static final long RETRY_AFTER_MS = 500;
    /** Clients try another node after this time without a response. */
    private static final long CLIENT_TIMEOUT_MILLIS = 1000;
    /**
     * A multiple of the maximum age of a confirmed view; allows for clocks that run at different speeds and for
     * settings that differ between nodes for a while.
     */
    private static final int SETTLING_VIEW_AGES = 4;

    private final EventLoop loop;
    private final Transport transport;
    private final ItemStore items;
    private final ViewSynchronizer view;
    private final Proposer proposer;
    private final EventJournal journal;
    private final Supplier<String> writeIds;
    private final Supplier<Optional<NodeId>> preferredSequencer;
    private final UpdateSequencer sequencer;
    private final UpdateLimits limits;

    /**
     * {@code preferredSequencer}: the node that should sequence updates, if it is another node that this node is in
     * contact with; {@code limits}: the maximum sizes of updates.
     */
    public UpdateService(
            final EventLoop loop,
            final Transport transport,
            final ItemStore items,
            final ViewSynchronizer view,
            final Proposer proposer,
            final EventJournal journal,
            final Supplier<String> writeIds,
            final Supplier<Optional<NodeId>> preferredSequencer,
            final UpdateLimits limits) {
        this.loop = loop;
        this.transport = transport;
        this.items = items;
        this.view = view;
        this.proposer = proposer;
        this.journal = journal;
        this.writeIds = writeIds;
        this.preferredSequencer = preferredSequencer;
        this.limits = limits;
        this.sequencer = new UpdateSequencer(
                loop,
                items,
                proposer,
                writeIds,
                view::isFresh,
                id -> loop.now() - items.learnedAt(id) > SETTLING_VIEW_AGES * view.maxAgeMs(),
                limits.configurationBytes());
    }

    /**
     * From now on this node completes updates that were recorded but only partly written; {@code rank} staggers the
     * nodes in time.
     */
    public void start(final int rank) {
        sequencer.start(rank);
    }

    private static ApiResponse unavailable(final String reason) {
        return ApiResponse.unavailable(reason, RETRY_AFTER_MS);
    }

    /**
     * Responds with 200 once a majority has synced every item of the update to disk; the same update yields 200 again
     * for as long as its versions are recorded. Responds with 409 if a version was recorded with a different body: no
     * part of such an update has taken effect or ever will.
     */
    public void apply(final byte[] data, final Consumer<ApiResponse> callback) {
        if (view.isFresh()) {
            apply(ReceivedUpdate.read(data), callback);
        } else {
            callback.accept(unavailable("this node's frame is not confirmed"));
        }
    }

    /** Applies an update that was read before, possibly by another thread. */
    public void apply(final ReceivedUpdate received, final Consumer<ApiResponse> callback) {
        applyJournaled(received, response -> {
            if (response.isRefusal()) {
                journal.add(response.refusalEvent());
            }
            callback.accept(response);
        });
    }

    private void applyJournaled(final ReceivedUpdate received, final Consumer<ApiResponse> callback) {
        if (!view.isFresh()) {
            callback.accept(unavailable("this node's frame is not confirmed"));
        } else if (!received.errors().isEmpty()) {
            refuseInvalid(received.errors(), callback);
        } else if (received.encodedBytes() > limits.updateBytes()) {
            refuse(
                    413,
                    "the items of a call may take up " + limits.updateBytes() + " bytes as stored, these take up "
                            + received.encodedBytes() + ": send them in several calls",
                    callback);
        } else {
            submit(received.update(), received.data(), withDeadline(callback));
        }
    }

    /**
     * Responds with 422 only after a majority has answered, so that a partitioned node rejects no update permanently.
     */
    public void refuseInvalid(final List<ValidationError> errors, final Consumer<ApiResponse> callback) {
        refuse(ApiResponse.invalid(errors), callback);
    }

    /** Responds with this status and reason if a majority answers, otherwise with 503. */
    public void refuse(final int status, final String reason, final Consumer<ApiResponse> callback) {
        refuse(new ApiResponse(status, ApiResponse.members("fate", "refused", "reason", reason)), callback);
    }

    /** Rejects a request permanently, but only in contact with a majority. */
    private void refuse(final ApiResponse refusal, final Consumer<ApiResponse> callback) {
        if (view.isFresh()) {
            view.awaitConfirmation(
                    loop.now(),
                    CONFIRMATION_TIMEOUT_MILLIS,
                    ok -> callback.accept(ok ? refusal : unavailable("no majority answered")));
        } else {
            callback.accept(unavailable("this node's frame is not confirmed"));
        }
    }

    private Consumer<ApiResponse> withDeadline(final Consumer<ApiResponse> callback) {
        return ResponseDeadline.withDeadline(loop, view, () -> unavailable("no majority answered in time"), callback);
    }

    /**
     * Forwards the update to the preferred sequencer, so that several updates share one write. If the sequencer does
     * not respond in time, this node processes the update as well.
     */
    private void submit(final ConfigurationUpdate update, final byte[] data, final Consumer<ApiResponse> callback) {
        final long receivedAt = loop.now();
        final Consumer<Judgement> decision =
                ResponseDeadline.once(judgement -> respond(update, receivedAt, judgement, callback));
        final boolean[] submittedHere = {false};
        final Runnable local = () -> {
            if (!submittedHere[0]) {
                submittedHere[0] = true;
                sequencer.submit(update, decision);
            }
        };
        final Optional<NodeId> sequencerNode = preferredSequencer.get();
        if (sequencerNode.isEmpty()) {
            local.run();
            return;
        }
        loop.schedule(FORWARD_TIMEOUT_MILLIS, () -> {
            if (!sequencer.isRecorded(update)) {
                local.run();
            }
        });
        loop.schedule(2 * FORWARD_TIMEOUT_MILLIS, local);
        transport.request(
                sequencerNode.get(),
                new UpdateForwardRequest(data),
                WRITE_TIMEOUT_MILLIS,
                reply -> reply.as(UpdateForwardResponse.class)
                        .map(UpdateService::toJudgement)
                        .filter(judgement -> judgement.verdict() != UpdateVerdict.UNDECIDED)
                        .ifPresentOrElse(decision, local));
    }

    /** Processes an update that another node has received and forwarded. */
    public void onForwarded(final UpdateForwardRequest request, final Consumer<Message> callback) {
        final List<ValidationError> errors = new ArrayList<>();
        final ConfigurationUpdate update = ConfigurationUpdate.read(request.update(), errors);
        if (errors.isEmpty()) {
            sequencer.submit(
                    update,
                    judgement -> callback.accept(
                            judgement.verdict() == UpdateVerdict.CONFIGURATION_FULL
                                    ? new RejectedResponse("the configuration would be too large")
                                    : toResponse(judgement)));
        } else {
            callback.accept(new RejectedResponse("the call has faults here"));
        }
    }

    private static UpdateForwardResponse toResponse(final Judgement judgement) {
        return new UpdateForwardResponse(
                judgement.verdict(), judgement.item(), judgement.version(), judgement.errors());
    }

    private static Judgement toJudgement(final UpdateForwardResponse response) {
        return new Judgement(response.verdict(), response.item(), response.version(), response.errors());
    }

    private void respond(
            final ConfigurationUpdate update,
            final long receivedAt,
            final Judgement judgement,
            final Consumer<ApiResponse> callback) {
        switch (judgement.verdict()) {
            case TAKEN -> callback.accept(ApiResponse.done("items", currentVersions(update)));
            case CONFLICT -> callback.accept(ApiResponse.conflict(judgement.item(), judgement.version()));
            case INVALID_REFERENCE -> recheckReferences(update, receivedAt, callback);
            case CONFIGURATION_FULL ->
                refuse(
                        413,
                        "the configuration may take up " + limits.configurationBytes()
                                + " bytes as stored and takes up " + items.configurationBytes()
                                + ": nothing of the call has taken effect",
                        callback);
            default -> callback.accept(unavailable("no majority confirmed every item"));
        }
    }

    private Map<String, Object> currentVersions(final ConfigurationUpdate update) {
        final Map<String, Object> done = new TreeMap<>();
        update.updates()
                .forEach((id, itemUpdate) -> done.put(
                        id.kind().label() + "/" + id.name(),
                        Math.max(
                                itemUpdate.version().number(),
                                items.get(id).version().number())));
        return done;
    }

    /**
     * A service that the update refers to may have been declared at another node, so the references are checked again
     * against a view that is confirmed after the first check. A client that has waited for long may have sent the
     * update to another node, where it may be valid by now.
     */
    private void recheckReferences(
            final ConfigurationUpdate update, final long receivedAt, final Consumer<ApiResponse> callback) {
        view.awaitConfirmation(loop.now(), CONFIRMATION_TIMEOUT_MILLIS, ok -> {
            if (!ok) {
                callback.accept(unavailable("no majority answered"));
                return;
            }
            sequencer.submit(update, judgement -> {
                if (judgement.verdict() != UpdateVerdict.INVALID_REFERENCE) {
                    respond(update, receivedAt, judgement, callback);
                } else if (loop.now() - receivedAt > CLIENT_TIMEOUT_MILLIS) {
                    callback.accept(unavailable("the references were judged too late"));
                } else {
                    callback.accept(ApiResponse.invalid(judgement.errors()));
                }
            });
        });
    }

    /**
     * Purges a path of a host or a tag. Each request creates a new version, so that objects cached since the previous
     * purge are purged as well. A node that was held up until its view is no longer confirmed does not acknowledge the
     * purge, since its version may count as garbage collected by then.
     */
    public void purge(final Purge purge, final Consumer<ApiResponse> callback) {
        if (!view.isFresh()) {
            callback.accept(unavailable("this node's frame is not confirmed"));
            return;
        }
        final Consumer<ApiResponse> singleResponse = withDeadline(callback);
        final String name = (purge.tag() != null ? "t." : "h.")
                + Long.toHexString(Hash.hash64(purge.tag() != null ? purge.tag() : purge.host() + "|" + purge.path()));
        final ItemId id = new ItemId(ItemKind.PURGE, name);
        final String writeId = writeIds.get();
        final String body = Json.write(purge);
        proposer.propose(
                id,
                writeId,
                WRITE_TIMEOUT_MILLIS,
                current -> {
                    final Item next = current.successor(body, writeId);
                    return Optional.of(new Item(id, items.nextVersion(next), next.body(), false, writeId));
                },
                result -> singleResponse.accept(
                        result.isAccepted() && view.isFresh()
                                ? ApiResponse.done(
                                        "item",
                                        "purge/" + name,
                                        "version",
                                        result.item().version().number())
                                : unavailable("no majority confirmed the purge")));
    }

    /** The configuration as of a time after the request, so that no update accepted before the request is missing. */
    public void readAll(final Consumer<Optional<Map<ItemKind, Map<String, Item>>>> callback) {
        readAll(ResponseDeadline.RESPONSE_TIMEOUT_MILLIS, callback);
    }

    /**
     * As {@link #readAll(Consumer)}, with a time-out in ms; calls back with an empty result if no majority answers
     * within the time-out.
     */
    public void readAll(final long timeoutMs, final Consumer<Optional<Map<ItemKind, Map<String, Item>>>> callback) {
        view.awaitConfirmation(loop.now(), timeoutMs, ok -> {
            if (!ok) {
                callback.accept(Optional.empty());
                return;
            }
            final Map<ItemKind, Map<String, Item>> itemsByKind = new HashMap<>();
            items.all().stream()
                    .map(ChosenItem::item)
                    .filter(item -> item.exists() && item.id().kind().isOperatorDefined())
                    .forEach(item -> itemsByKind
                            .computeIfAbsent(item.id().kind(), kind -> new TreeMap<>())
                            .put(item.id().name(), item));
            callback.accept(Optional.of(itemsByKind));
        });
    }
}
