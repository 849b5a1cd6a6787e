package org.rowanvalve.control.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.ValidationError;
import org.rowanvalve.control.config.Configuration;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.control.config.Service;
import org.rowanvalve.control.config.ServiceKind;
import org.rowanvalve.control.consensus.Proposer;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.json.JsonObjectReader;
import org.rowanvalve.control.json.JsonReader;
import org.rowanvalve.control.store.ItemStore;

/** Validates announcements of origins, which are valid for a time to live, and writes each as an item. */
final class OriginAnnouncementWriter {
    private static final long WRITE_TIMEOUT_MILLIS = 2500;
    private static final int MAX_PORT = 65_535;
    private static final long MAX_LOAD = 1_000_000;
    private static final long DEFAULT_TTL_MS = 10_000;
    private static final long MIN_TTL_MS = 1000;
    private static final long MAX_TTL_MS = 600_000;

    private final ItemStore items;
    private final Proposer proposer;
    private final EventJournal journal;
    private final Supplier<String> writeIds;

    OriginAnnouncementWriter(
            final ItemStore items,
            final Proposer proposer,
            final EventJournal journal,
            final Supplier<String> writeIds) {
        this.items = items;
        this.proposer = proposer;
        this.journal = journal;
        this.writeIds = writeIds;
    }

    /** The announcement as the body of an item, with its validation errors. */
    ConfigurationService.Validation validate(final String name, final byte[] data) {
        final List<ValidationError> errors = new ArrayList<>();
        final Object value = JsonReader.read(data, errors);
        final JsonObjectReader object = new JsonObjectReader(value, "", errors);
        final String service = object.text("service", true, "");
        final ServiceKind kind = ServiceKind.ofCode(object.oneOf("kind", ServiceKind.codes()));
        final Origin announced = new Origin(
                service,
                object.text("host", true, ""),
                (int) object.wholeNumber("port", true, 1, 1, MAX_PORT),
                object.text("stamp", true, ""),
                kind,
                object.number("load", false, 0, 0, MAX_LOAD).doubleValue(),
                object.wholeNumber("ttlMs", false, DEFAULT_TTL_MS, MIN_TTL_MS, MAX_TTL_MS),
                object.booleanValue("leaving", false),
                object.wholeNumber("beat", false, 0, 0, Long.MAX_VALUE));
        object.rejectUnknownMembers();
        final Service announcedService = Configuration.of(items).services().get(service);
        if (announcedService == null) {
            errors.add(new ValidationError("/service", "no configuration names this service"));
        } else if (announcedService.kind() != kind) {
            errors.add(new ValidationError("/kind", "the service is of kind " + announcedService.kind()));
        }
        if (!name.matches("[a-z0-9][a-z0-9._-]{0,60}")) {
            errors.add(new ValidationError("/", "bad origin name"));
        }
        return new ConfigurationService.Validation(errors, Json.write(announced));
    }

    /**
     * Rejects announcements of an instance that has already left, the leave of an instance other than the current one,
     * and announcements that are older than the current one.
     */
    void write(final String name, final Origin announced, final Consumer<Proposer.Result> callback) {
        final ItemId id = new ItemId(ItemKind.ORIGIN, name);
        final String writeId = writeIds.get();
        proposer.propose(
                id,
                writeId,
                WRITE_TIMEOUT_MILLIS,
                current -> {
                    final Origin registered = current.exists() ? Json.read(current.body(), Origin.class) : null;
                    final boolean hasLeft = registered != null
                            && registered.draining()
                            && registered.instance().equals(announced.instance());
                    final boolean isLeaveOfOtherInstance = announced.draining()
                            && registered != null
                            && !registered.instance().equals(announced.instance());
                    final boolean isOutdated = registered != null
                            && registered.instance().equals(announced.instance())
                            && announced.sequence() < registered.sequence();
                    return hasLeft && !announced.draining() || isLeaveOfOtherInstance || isOutdated
                            ? Optional.empty()
                            : Optional.of(withNextVersion(current.successor(Json.write(announced), writeId)));
                },
                result -> {
                    if (result.isAccepted()) {
                        journal.add(Event.of(
                                announced.draining() ? EventCode.ORIGIN_LEFT : EventCode.ORIGIN_SEEN,
                                "origin",
                                name,
                                "service",
                                announced.service(),
                                "ver",
                                result.item().version().number()));
                    }
                    callback.accept(result);
                });
    }

    private Item withNextVersion(final Item next) {
        return new Item(next.id(), items.nextVersion(next), next.body(), next.deleted(), next.writeId());
    }
}
