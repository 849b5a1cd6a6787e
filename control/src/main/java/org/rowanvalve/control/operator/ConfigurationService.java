package org.rowanvalve.control.operator;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.ValidationError;
import org.rowanvalve.common.model.Version;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.control.config.Configuration;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.control.consensus.Proposer;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.json.JsonReader;
import org.rowanvalve.control.store.ItemStore;
import org.rowanvalve.control.view.ViewSynchronizer;

/** Accepts single items and complete configurations from operators and announcements from origins, at any node. */
public final class ConfigurationService {
    private static final long WRITE_TIMEOUT_MILLIS = 2500;
    private static final long CONFIRMATION_TIMEOUT_MILLIS = 700;
    private final EventLoop loop;
    private final ItemStore items;
    private final ViewSynchronizer view;
    private final Proposer proposer;
    private final OriginAnnouncementWriter announcements;
    private final Supplier<String> writeIds;

    public ConfigurationService(
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
        this.announcements = new OriginAnnouncementWriter(items, proposer, journal, writeIds);
        this.writeIds = writeIds;
    }

    private static ApiResponse unavailable() {
        return ApiResponse.unavailable("this node's frame is not confirmed", 1000);
    }

    /**
     * The result of validating a request before anything is proposed: the errors, or, if there are none, the body of
     * the item.
     */
    record Validation(List<ValidationError> errors, String body) {}

    /**
     * Calls {@code onValid} with the validated body. Errors are reported only after a majority has confirmed this
     * node's view, since an item that was recently written through another node may resolve them.
     */
    private void whenValid(
            final Supplier<Validation> validator,
            final Consumer<String> onValid,
            final Consumer<ApiResponse> callback) {
        if (!view.isFresh()) {
            callback.accept(unavailable());
            return;
        }
        final Validation validation = validator.get();
        if (validation.errors().isEmpty()) {
            onValid.accept(validation.body());
            return;
        }
        view.awaitConfirmation(loop.now(), CONFIRMATION_TIMEOUT_MILLIS, confirmed -> {
            final Validation revalidation = validator.get();
            if (!confirmed) {
                callback.accept(unavailable());
            } else if (revalidation.errors().isEmpty()) {
                onValid.accept(revalidation.body());
            } else {
                callback.accept(ApiResponse.invalid(revalidation.errors()));
            }
        });
    }

    /** Reads the chosen items from a view that a majority has confirmed after the request arrived. */
    public void readConfirmed(final Supplier<ApiResponse> read, final Consumer<ApiResponse> callback) {
        if (view.isFresh()) {
            view.awaitConfirmation(
                    loop.now(),
                    CONFIRMATION_TIMEOUT_MILLIS,
                    confirmed -> callback.accept(confirmed ? read.get() : unavailable()));
        } else {
            callback.accept(unavailable());
        }
    }

    private static String pathOf(final ItemId id) {
        return "/" + id.kind().label() + "s/" + id.name();
    }

    private List<ValidationError> newErrors(final Configuration before, final Configuration after) {
        final List<ValidationError> oldErrors = new ArrayList<>();
        final List<ValidationError> newErrors = new ArrayList<>();
        before.checkReferences(oldErrors);
        after.checkReferences(newErrors);
        newErrors.removeAll(oldErrors);
        return newErrors;
    }

    /**
     * Creates or replaces one item. {@code expectedVersion}: the version that the new one replaces; {@code
     * operationId}: identifies repeats of the same request, may be null.
     */
    public void putItem(
            final ItemId id,
            final byte[] data,
            final long expectedVersion,
            final String operationId,
            final Consumer<ApiResponse> callback) {
        whenValid(
                () -> validatePut(id, data),
                body -> writeItem(
                        id,
                        expectedVersion,
                        operationId,
                        current -> current.successor(body, writeIdOf(operationId)),
                        callback),
                callback);
    }

    private Validation validatePut(final ItemId id, final byte[] data) {
        final List<ValidationError> errors = new ArrayList<>();
        final Object value = JsonReader.read(data, errors);
        final Configuration next = Configuration.of(items);
        if (value != null || errors.isEmpty()) {
            next.readItem(id, value, pathOf(id), errors);
        }
        if (value instanceof Map) {
            errors.addAll(newErrors(Configuration.of(items), next));
        }
        return new Validation(errors, errors.isEmpty() ? next.bodies().get(id) : null);
    }

    /** Deletes one item whose current version is {@code expectedVersion}. */
    public void deleteItem(
            final ItemId id,
            final long expectedVersion,
            final String operationId,
            final Consumer<ApiResponse> callback) {
        whenValid(
                () -> validateDelete(id),
                body -> writeItem(
                        id,
                        expectedVersion,
                        operationId,
                        current -> current.tombstone(writeIdOf(operationId)),
                        callback),
                callback);
    }

    private Validation validateDelete(final ItemId id) {
        final Configuration next = Configuration.of(items);
        switch (id.kind()) {
            case SERVICE -> next.services().remove(id.name());
            case ROUTE -> next.routes().remove(id.name());
            default -> next.purges().remove(id.name());
        }
        return new Validation(newErrors(Configuration.of(items), next), null);
    }

    private String writeIdOf(final String operationId) {
        return operationId == null || operationId.isEmpty() ? writeIds.get() : "w-" + operationId;
    }

    private interface ItemChange {
        Item next(Item current);
    }

    private void writeItem(
            final ItemId id,
            final long expectedVersion,
            final String operationId,
            final ItemChange change,
            final Consumer<ApiResponse> callback) {
        final String writeId = writeIdOf(operationId);
        proposer.propose(
                id,
                writeId,
                WRITE_TIMEOUT_MILLIS,
                current -> {
                    final boolean versionMatches = current.version().number() == expectedVersion
                            || current.deleted() && expectedVersion == 0
                            || current.version().number() == 0
                                    && items.collectionFloor().covers(id, expectedVersion);
                    if (!versionMatches) {
                        return Optional.empty();
                    }
                    final Item next = change.next(current);
                    return Optional.of(
                            new Item(next.id(), items.nextVersion(next), next.body(), next.deleted(), writeId));
                },
                result -> callback.accept(response(id, result)));
    }

    private static ApiResponse response(final ItemId id, final Proposer.Result result) {
        final String itemPath = id.kind().label() + "/" + id.name();
        return switch (result.status()) {
            case ACCEPTED ->
                new ApiResponse(
                        200,
                        ApiResponse.members(
                                "fate",
                                "done",
                                "item",
                                itemPath,
                                "version",
                                result.item().version().number()));
            case CONFLICT ->
                new ApiResponse(
                        409,
                        ApiResponse.members(
                                "fate",
                                "refused",
                                "item",
                                itemPath,
                                "reason",
                                "the item stands at another version",
                                "version",
                                result.item().version().number()));
            case REJECTED -> ApiResponse.unavailable("no majority of electors answered", 1000);
            case UNKNOWN ->
                new ApiResponse(
                        504,
                        ApiResponse.members(
                                "fate", "unknown", "item", itemPath, "reason", "no majority confirmed in time"));
        };
    }

    /** Replaces the whole configuration: validates it as a whole, then writes the changes item by item. */
    public void applyConfiguration(final byte[] data, final Consumer<ApiResponse> callback) {
        whenValid(
                () -> {
                    final List<ValidationError> errors = new ArrayList<>();
                    Configuration.read(data, errors);
                    return new Validation(errors, null);
                },
                body -> writeChanges(Configuration.read(data, new ArrayList<>()), callback),
                callback);
    }

    private void writeChanges(final Configuration target, final Consumer<ApiResponse> callback) {
        final Map<ItemId, String> currentBodies = Configuration.of(items).bodies();
        final Map<ItemId, String> targetBodies = target.bodies();
        final List<ItemId> pending = new ArrayList<>();
        final List<ItemId> deleted = new ArrayList<>();
        for (final ItemKind kind : List.of(ItemKind.SERVICE, ItemKind.ROUTE, ItemKind.PURGE)) {
            targetBodies.forEach((id, body) -> {
                if (id.kind() == kind && !body.equals(currentBodies.get(id))) {
                    pending.add(id);
                }
            });
        }
        for (final ItemKind kind : List.of(ItemKind.ROUTE, ItemKind.SERVICE)) {
            currentBodies.keySet().stream()
                    .filter(id -> id.kind() == kind && !targetBodies.containsKey(id))
                    .forEach(deleted::add);
        }
        pending.addAll(deleted);
        writeNext(pending, targetBodies, new ArrayList<>(), 200, callback);
    }

    private void writeNext(
            final List<ItemId> pending,
            final Map<ItemId, String> targetBodies,
            final List<Map<String, Object>> results,
            final int worstStatus,
            final Consumer<ApiResponse> callback) {
        if (pending.isEmpty()) {
            callback.accept(new ApiResponse(
                    worstStatus,
                    ApiResponse.members(
                            "fate",
                            worstStatus == 200 ? "done" : worstStatus == 504 ? "unknown" : "refused",
                            "items",
                            results)));
            return;
        }
        final ItemId id = pending.get(0);
        final long version = items.get(id).version().number();
        final String body = targetBodies.get(id);
        writeItem(
                id,
                version,
                null,
                current -> body == null ? current.tombstone("") : current.successor(body, ""),
                response -> {
                    results.add(response.body());
                    if (response.status() != 200 && response.status() != 409) {
                        writeNext(List.of(), targetBodies, results, response.status(), callback);
                    } else {
                        writeNext(
                                pending.subList(1, pending.size()),
                                targetBodies,
                                results,
                                Math.max(worstStatus, response.status()),
                                callback);
                    }
                });
    }

    /** Writes an announcement of an origin, which is valid for the time to live that it states. */
    public void announceOrigin(final String originName, final byte[] data, final Consumer<ApiResponse> callback) {
        whenValid(
                () -> announcements.validate(originName, data),
                body -> announcements.write(
                        originName,
                        Json.read(body, Origin.class),
                        result -> callback.accept(response(new ItemId(ItemKind.ORIGIN, originName), result))),
                callback);
    }

    /** The item as this node has learned it, without contacting other nodes; 404 if the item does not exist. */
    public ApiResponse getItem(final ItemId id) {
        final Item item = items.get(id);
        if (item.version().equals(Version.ZERO) || item.deleted()) {
            return new ApiResponse(
                    404,
                    ApiResponse.members(
                            "item",
                            id.kind().label() + "/" + id.name(),
                            "version",
                            item.version().number(),
                            "state",
                            "absent"));
        }
        final Map<String, Object> body = ApiResponse.members(
                "item",
                id.kind().label() + "/" + id.name(),
                "version",
                item.version().number(),
                "state",
                "stated",
                "body",
                Json.read(item.body(), Map.class));
        final List<Object> findings = referenceErrors().stream()
                .filter(error -> error.path().startsWith(pathOf(id) + "/"))
                .<Object>map(error -> ApiResponse.members("path", error.path(), "text", error.message()))
                .toList();
        if (!findings.isEmpty()) {
            body.put("findings", findings);
        }
        return new ApiResponse(200, body);
    }

    /**
     * References between the current items that do not resolve. They can occur because items are accepted one by one.
     */
    public List<ValidationError> referenceErrors() {
        final List<ValidationError> errors = new ArrayList<>();
        Configuration.of(items).checkReferences(errors);
        return errors;
    }

    /** All items of a kind as this node has learned them, without contacting other nodes. */
    public ApiResponse listItems(final ItemKind kind) {
        final Map<String, Object> itemsByName = new TreeMap<>();
        items.all().stream()
                .map(ChosenItem::item)
                .filter(item -> item.id().kind() == kind && item.exists())
                .forEach(item -> itemsByName.put(
                        item.id().name(),
                        ApiResponse.members(
                                "version", item.version().number(), "body", Json.read(item.body(), Map.class))));
        return new ApiResponse(200, ApiResponse.members("kind", kind.label(), "items", itemsByName));
    }

    public static byte[] toJson(final ApiResponse response) {
        return Json.write(response.body()).getBytes(StandardCharsets.UTF_8);
    }
}
