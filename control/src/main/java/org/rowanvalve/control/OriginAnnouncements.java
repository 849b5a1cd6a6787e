package org.rowanvalve.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.Event;
import org.rowanvalve.common.Finding;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Kind;

/** Origins that announce themselves for a time to live: each announcement is checked and written as an item. */
final class OriginAnnouncements {
    private static final long SPAN = 2500;
    private final ItemStore held;
    private final Writer writer;
    private final Journal journal;
    private final Supplier<String> tags;

    OriginAnnouncements(final ItemStore held, final Writer writer, final Journal journal, final Supplier<String> tags) {
        this.held = held;
        this.writer = writer;
        this.journal = journal;
        this.tags = tags;
    }

    /** The announcement as the item's body, and what is wrong with it. */
    ItemService.Checked check(final String name, final byte[] data) {
        final List<Finding> faults = new ArrayList<>();
        final Object o = JsonReader.read(data, faults);
        final JsonShape s = new JsonShape(o, "", faults);
        final String service = s.text("service", true, "");
        final String kind = s.word("kind", Set.of(Service.CONTENT, Service.BOOKING, Service.OPEN));
        final Origin said = new Origin(
                service,
                s.text("host", true, ""),
                (int) s.whole("port", true, 1, 1, 65_535),
                s.text("stamp", true, ""),
                kind,
                s.number("load", false, 0, 0, 1_000_000).doubleValue(),
                s.whole("ttlMs", false, 10_000, 1000, 600_000),
                s.flag("leaving", false),
                s.whole("beat", false, 0, 0, Long.MAX_VALUE));
        s.end();
        final Service to = Config.of(held).services().get(service);
        if (to == null) {
            faults.add(new Finding("/service", "no configuration names this service"));
        } else if (!to.kind().equals(kind)) {
            faults.add(new Finding("/kind", "the service is of kind " + to.kind()));
        }
        if (!name.matches("[a-z0-9][a-z0-9._-]{0,60}")) {
            faults.add(new Finding("/", "bad origin name"));
        }
        return new ItemService.Checked(faults, Json.text(said));
    }

    /** An origin that left does not come back under its stamp, and a late announcement changes nothing. */
    void write(final String name, final Origin said, final Consumer<Writer.Result> back) {
        final ItemId id = new ItemId(Kind.ORIGIN, name);
        final String tag = tags.get();
        writer.write(
                id,
                tag,
                SPAN,
                now -> {
                    final Origin old = now.live() ? Json.read(now.body(), Origin.class) : null;
                    final boolean left =
                            old != null && old.leaving() && old.stamp().equals(said.stamp());
                    final boolean gone =
                            said.leaving() && old != null && !old.stamp().equals(said.stamp());
                    final boolean late = old != null && old.stamp().equals(said.stamp()) && said.beat() < old.beat();
                    return left && !said.leaving() || gone || late
                            ? Optional.empty()
                            : Optional.of(risen(now.next(Json.text(said), tag)));
                },
                r -> {
                    if (r.ok()) {
                        journal.add(Event.of(
                                said.leaving() ? Code.ORIGIN_LEFT : Code.ORIGIN_SEEN,
                                "origin",
                                name,
                                "service",
                                said.service(),
                                "ver",
                                r.item().ver().n()));
                    }
                    back.accept(r);
                });
    }

    private Item risen(final Item n) {
        return new Item(n.id(), held.rise(n), n.body(), n.gone(), n.tag());
    }
}
