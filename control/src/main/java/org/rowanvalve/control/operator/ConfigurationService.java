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

/** Takes what operators and origins declare, at any node. */
public final class ConfigurationService {
    private static final long WRITE_TIMEOUT_MILLIS = 2500;
    private static final long CONTACT_TIMEOUT_MILLIS = 700;
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
     * What a declaration comes to before it is compared with the chosen items: its errors, and the item's body where
     * there are none.
     */
    record Validation(List<ValidationError> errors, String body) {}

    /** Errors are reported only as a majority sees them: what was declared elsewhere a moment ago may resolve them. */
    private void whenValid(
            final Supplier<Validation> check, final Consumer<String> accepted, final Consumer<ApiResponse> callback) {
        if (!view.isFresh()) {
            callback.accept(unavailable());
            return;
        }
        final Validation first = check.get();
        if (first.errors().isEmpty()) {
            accepted.accept(first.body());
            return;
        }
        view.awaitConfirmation(loop.now(), CONTACT_TIMEOUT_MILLIS, ok -> {
            final Validation again = check.get();
            if (!ok) {
                callback.accept(unavailable());
            } else if (again.errors().isEmpty()) {
                accepted.accept(again.body());
            } else {
                callback.accept(ApiResponse.invalid(again.errors()));
            }
        });
    }

    /** Reads the chosen items as of a moment after the request. */
    public void inContact(final Supplier<ApiResponse> read, final Consumer<ApiResponse> callback) {
        if (view.isFresh()) {
            view.awaitConfirmation(
                    loop.now(), CONTACT_TIMEOUT_MILLIS, ok -> callback.accept(ok ? read.get() : unavailable()));
        } else {
            callback.accept(unavailable());
        }
    }

    private static String pathOf(final ItemId id) {
        return "/" + id.kind().label() + "s/" + id.name();
    }

    private List<ValidationError> newErrors(final Configuration before, final Configuration after) {
        final List<ValidationError> old = new ArrayList<>();
        final List<ValidationError> current = new ArrayList<>();
        before.checkReferences(old);
        after.checkReferences(current);
        current.removeAll(old);
        return current;
    }

    /**
     * Declares one item. {@code expectedVersion}: the version it replaces; {@code operationId}: recognizes a repeat of
     * the same call.
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

    /** Deletes one item that stands at {@code expectedVersion}. */
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

    private String writeIdOf(final String given) {
        return given == null || given.isEmpty() ? writeIds.get() : "w-" + given;
    }

    private interface ItemChange {
        Item next(Item now);
    }

    private void writeItem(
            final ItemId id,
            final long expectedVersion,
            final String operationId,
            final ItemChange step,
            final Consumer<ApiResponse> callback) {
        final String writeId = writeIdOf(operationId);
        proposer.propose(
                id,
                writeId,
                WRITE_TIMEOUT_MILLIS,
                current -> {
                    final boolean fits = current.version().number() == expectedVersion
                            || current.deleted() && expectedVersion == 0
                            || current.version().number() == 0
                                    && items.collectionFloor().covers(id, expectedVersion);
                    if (!fits) {
                        return Optional.empty();
                    }
                    final Item next = step.next(current);
                    return Optional.of(
                            new Item(next.id(), items.nextVersion(next), next.body(), next.deleted(), writeId));
                },
                result -> callback.accept(response(id, result)));
    }

    private static ApiResponse response(final ItemId id, final Proposer.Result result) {
        final String writeId = id.kind().label() + "/" + id.name();
        return switch (result.status()) {
            case ACCEPTED ->
                new ApiResponse(
                        200,
                        ApiResponse.members(
                                "fate",
                                "done",
                                "item",
                                writeId,
                                "version",
                                result.item().version().number()));
            case CONFLICT ->
                new ApiResponse(
                        409,
                        ApiResponse.members(
                                "fate",
                                "refused",
                                "item",
                                writeId,
                                "reason",
                                "the item stands at another version",
                                "version",
                                result.item().version().number()));
            case REJECTED -> ApiResponse.unavailable("no majority of electors answered", 1000);
            case UNKNOWN ->
                new ApiResponse(
                        504,
                        ApiResponse.members(
                                "fate", "unknown", "item", writeId, "reason", "no majority confirmed in time"));
        };
    }

    /** A complete configuration: checked as one, then declared item by item. */
    public void applyConfiguration(final byte[] data, final Consumer<ApiResponse> callback) {
        whenValid(
                () -> {
                    final List<ValidationError> errors = new ArrayList<>();
                    Configuration.read(data, errors);
                    return new Validation(errors, null);
                },
                body -> writeDeclared(Configuration.read(data, new ArrayList<>()), callback),
                callback);
    }

    private void writeDeclared(final Configuration want, final Consumer<ApiResponse> callback) {
        final Map<ItemId, String> current = Configuration.of(items).bodies();
        final Map<ItemId, String> next = want.bodies();
        final List<ItemId> pending = new ArrayList<>();
        final List<ItemId> deleted = new ArrayList<>();
        for (final ItemKind kind : List.of(ItemKind.SERVICE, ItemKind.ROUTE, ItemKind.PURGE)) {
            next.forEach((id, body) -> {
                if (id.kind() == kind && !body.equals(current.get(id))) {
                    pending.add(id);
                }
            });
        }
        for (final ItemKind kind : List.of(ItemKind.ROUTE, ItemKind.SERVICE)) {
            current.keySet().stream()
                    .filter(id -> id.kind() == kind && !next.containsKey(id))
                    .forEach(deleted::add);
        }
        pending.addAll(deleted);
        writeNext(pending, next, new ArrayList<>(), 200, callback);
    }

    private void writeNext(
            final List<ItemId> pending,
            final Map<ItemId, String> next,
            final List<Map<String, Object>> done,
            final int worstStatus,
            final Consumer<ApiResponse> callback) {
        if (pending.isEmpty()) {
            callback.accept(new ApiResponse(
                    worstStatus,
                    ApiResponse.members(
                            "fate",
                            worstStatus == 200 ? "done" : worstStatus == 504 ? "unknown" : "refused",
                            "items",
                            done)));
            return;
        }
        final ItemId id = pending.get(0);
        final long version = items.get(id).version().number();
        final String body = next.get(id);
        writeItem(
                id,
                version,
                null,
                current -> body == null ? current.tombstone("") : current.successor(body, ""),
                response -> {
                    done.add(response.body());
                    if (response.status() != 200 && response.status() != 409) {
                        writeNext(List.of(), next, done, response.status(), callback);
                    } else {
                        writeNext(
                                pending.subList(1, pending.size()),
                                next,
                                done,
                                Math.max(worstStatus, response.status()),
                                callback);
                    }
                });
    }

    /** Takes an origin's announcement, valid for its time to live. */
    public void announceOrigin(final String writeId, final byte[] data, final Consumer<ApiResponse> callback) {
        whenValid(
                () -> announcements.validate(writeId, data),
                body -> announcements.write(
                        writeId,
                        Json.read(body, Origin.class),
                        result -> callback.accept(response(new ItemId(ItemKind.ORIGIN, writeId), result))),
                callback);
    }

    /** The item as this node has learned it, without asking others; 404 where there is none. */
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
        final Map<String, Object> all = ApiResponse.members(
                "item",
                id.kind().label() + "/" + id.name(),
                "version",
                item.version().number(),
                "state",
                "stated",
                "body",
                Json.read(item.body(), Map.class));
        final List<Object> unfit = referenceErrors().stream()
                .filter(error -> error.path().startsWith(pathOf(id) + "/"))
                .<Object>map(error -> ApiResponse.members("path", error.path(), "text", error.message()))
                .toList();
        if (!unfit.isEmpty()) {
            all.put("findings", unfit);
        }
        return new ApiResponse(200, all);
    }

    /** References that do not resolve now between items that were accepted one by one. */
    public List<ValidationError> referenceErrors() {
        final List<ValidationError> list = new ArrayList<>();
        Configuration.of(items).checkReferences(list);
        return list;
    }

    /** All items of a kind as this node has learned them, without asking others. */
    public ApiResponse listItems(final ItemKind kind) {
        final Map<String, Object> all = new TreeMap<>();
        items.all().stream()
                .map(ChosenItem::item)
                .filter(item -> item.id().kind() == kind && item.exists())
                .forEach(item -> all.put(
                        item.id().name(),
                        ApiResponse.members(
                                "version", item.version().number(), "body", Json.read(item.body(), Map.class))));
        return new ApiResponse(200, ApiResponse.members("kind", kind.label(), "items", all));
    }

    public static byte[] toJson(final ApiResponse response) {
        return Json.write(response.body()).getBytes(StandardCharsets.UTF_8);
    }
}
