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

/** Origins that announce themselves for a time to live: each announcement is checked and written as an item. */
final class OriginAnnouncementWriter {
    private static final long WRITE_TIMEOUT_MILLIS = 2500;
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

    /** The announcement as the item's body, and what is wrong with it. */
    ConfigurationService.Validation validate(final String name, final byte[] data) {
        final List<ValidationError> errors = new ArrayList<>();
        final Object value = JsonReader.read(data, errors);
        final JsonObjectReader object = new JsonObjectReader(value, "", errors);
        final String service = object.text("service", true, "");
        final ServiceKind kind = ServiceKind.ofCode(object.oneOf("kind", ServiceKind.codes()));
        final Origin announced = new Origin(
                service,
                object.text("host", true, ""),
                (int) object.wholeNumber("port", true, 1, 1, 65_535),
                object.text("stamp", true, ""),
                kind,
                object.number("load", false, 0, 0, 1_000_000).doubleValue(),
                object.wholeNumber("ttlMs", false, 10_000, 1000, 600_000),
                object.booleanValue("leaving", false),
                object.wholeNumber("beat", false, 0, 0, Long.MAX_VALUE));
        object.rejectUnknownMembers();
        final Service to = Configuration.of(items).services().get(service);
        if (to == null) {
            errors.add(new ValidationError("/service", "no configuration names this service"));
        } else if (to.kind() != kind) {
            errors.add(new ValidationError("/kind", "the service is of kind " + to.kind()));
        }
        if (!name.matches("[a-z0-9][a-z0-9._-]{0,60}")) {
            errors.add(new ValidationError("/", "bad origin name"));
        }
        return new ConfigurationService.Validation(errors, Json.write(announced));
    }

    /** An origin that left does not come back under the same start, and a late announcement changes nothing. */
    void write(final String name, final Origin announced, final Consumer<Proposer.Result> back) {
        final ItemId id = new ItemId(ItemKind.ORIGIN, name);
        final String writeId = writeIds.get();
        proposer.propose(
                id,
                writeId,
                WRITE_TIMEOUT_MILLIS,
                now -> {
                    final Origin standing = now.exists() ? Json.read(now.body(), Origin.class) : null;
                    final boolean endedBefore = standing != null
                            && standing.draining()
                            && standing.instance().equals(announced.instance());
                    final boolean endOfOther = announced.draining()
                            && standing != null
                            && !standing.instance().equals(announced.instance());
                    final boolean outdated = standing != null
                            && standing.instance().equals(announced.instance())
                            && announced.sequence() < standing.sequence();
                    return endedBefore && !announced.draining() || endOfOther || outdated
                            ? Optional.empty()
                            : Optional.of(withNextVersion(now.successor(Json.write(announced), writeId)));
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
                    back.accept(result);
                });
    }

    private Item withNextVersion(final Item next) {
        return new Item(next.id(), items.nextVersion(next), next.body(), next.deleted(), next.writeId());
    }
}
