package org.rowanvalve.control;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.rowanvalve.common.Finding;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Ver;

/** Takes what operators and origins state, at any node. */
public final class ItemService {
    private static final long SPAN = 2500;
    private static final long CONTACT = 700;
    private final Loop loop;
    private final ItemStore held;
    private final FrameSync sync;
    private final Writer writer;
    private final OriginAnnouncements announcements;
    private final Supplier<String> tags;

    public ItemService(
            final Loop loop,
            final ItemStore held,
            final FrameSync sync,
            final Writer writer,
            final Journal journal,
            final Supplier<String> tags) {
        this.loop = loop;
        this.held = held;
        this.sync = sync;
        this.writer = writer;
        this.announcements = new OriginAnnouncements(held, writer, journal, tags);
        this.tags = tags;
    }

    private static ApiResult late() {
        return ApiResult.unavailable("this node's frame is not confirmed", 1000);
    }

    /** What a statement comes to before the items that are held: its faults, and the item's body where there are none. */
    record Checked(List<Finding> faults, String body) {}

    /** Faults are told only as a majority sees them: what was stated elsewhere a moment ago may mend them. */
    private void checked(
            final Supplier<Checked> check, final Consumer<String> accepted, final Consumer<ApiResult> back) {
        if (!sync.fresh()) {
            back.accept(late());
            return;
        }
        final Checked first = check.get();
        if (first.faults().isEmpty()) {
            accepted.accept(first.body());
            return;
        }
        sync.after(loop.now(), CONTACT, ok -> {
            final Checked again = check.get();
            if (!ok) {
                back.accept(late());
            } else if (again.faults().isEmpty()) {
                accepted.accept(again.body());
            } else {
                back.accept(ApiResult.invalid(again.faults()));
            }
        });
    }

    /** Reads what is held, as of a moment after the question. */
    public void inContact(final Supplier<ApiResult> read, final Consumer<ApiResult> back) {
        if (sync.fresh()) {
            sync.after(loop.now(), CONTACT, ok -> back.accept(ok ? read.get() : late()));
        } else {
            back.accept(late());
        }
    }

    private static String path(final ItemId id) {
        return "/" + id.kind().word() + "s/" + id.name();
    }

    private List<Finding> added(final Config before, final Config after) {
        final List<Finding> old = new ArrayList<>();
        final List<Finding> now = new ArrayList<>();
        before.check(old);
        after.check(now);
        now.removeAll(old);
        return now;
    }

    public void put(
            final ItemId id, final byte[] data, final long expect, final String tag, final Consumer<ApiResult> back) {
        checked(() -> checkPut(id, data), body -> write(id, expect, tag, now -> now.next(body, tag(tag)), back), back);
    }

    private Checked checkPut(final ItemId id, final byte[] data) {
        final List<Finding> faults = new ArrayList<>();
        final Object o = JsonReader.read(data, faults);
        final Config next = Config.of(held);
        if (o != null || faults.isEmpty()) {
            next.put(id, o, path(id), faults);
        }
        if (o instanceof Map) {
            faults.addAll(added(Config.of(held), next));
        }
        return new Checked(faults, faults.isEmpty() ? next.bodies().get(id) : null);
    }

    public void delete(final ItemId id, final long expect, final String tag, final Consumer<ApiResult> back) {
        checked(() -> checkDelete(id), body -> write(id, expect, tag, now -> now.grave(tag(tag)), back), back);
    }

    private Checked checkDelete(final ItemId id) {
        final Config next = Config.of(held);
        switch (id.kind()) {
            case SERVICE -> next.services().remove(id.name());
            case ROUTE -> next.routes().remove(id.name());
            default -> next.purges().remove(id.name());
        }
        return new Checked(added(Config.of(held), next), null);
    }

    private String tag(final String given) {
        return given == null || given.isEmpty() ? tags.get() : "w-" + given;
    }

    private interface Step {
        Item next(Item now);
    }

    private void write(
            final ItemId id, final long expect, final String tag, final Step step, final Consumer<ApiResult> back) {
        final String name = tag(tag);
        writer.write(
                id,
                name,
                SPAN,
                now -> {
                    final boolean fits = now.ver().n() == expect
                            || now.gone() && expect == 0
                            || now.ver().n() == 0 && held.sweep().drops(id, expect);
                    if (!fits) {
                        return Optional.empty();
                    }
                    final Item n = step.next(now);
                    return Optional.of(new Item(n.id(), held.rise(n), n.body(), n.gone(), name));
                },
                r -> back.accept(said(id, r)));
    }

    private static ApiResult said(final ItemId id, final Writer.Result r) {
        final String name = id.kind().word() + "/" + id.name();
        return switch (r.fate()) {
            case ACCEPTED ->
                new ApiResult(
                        200,
                        ApiResult.members(
                                "fate",
                                "done",
                                "item",
                                name,
                                "version",
                                r.item().ver().n()));
            case CLASH ->
                new ApiResult(
                        409,
                        ApiResult.members(
                                "fate",
                                "refused",
                                "item",
                                name,
                                "reason",
                                "the item stands at another version",
                                "version",
                                r.item().ver().n()));
            case REJECTED -> ApiResult.unavailable("no majority of electors answered", 1000);
            case UNKNOWN ->
                new ApiResult(
                        504,
                        ApiResult.members("fate", "unknown", "item", name, "reason", "no majority confirmed in time"));
        };
    }

    /** A whole declared configuration: checked whole first, then stated item by item. */
    public void apply(final byte[] data, final Consumer<ApiResult> back) {
        checked(
                () -> {
                    final List<Finding> faults = new ArrayList<>();
                    Config.read(data, faults);
                    return new Checked(faults, null);
                },
                body -> stated(Config.read(data, new ArrayList<>()), back),
                back);
    }

    private void stated(final Config want, final Consumer<ApiResult> back) {
        final Map<ItemId, String> now = Config.of(held).bodies();
        final Map<ItemId, String> next = want.bodies();
        final List<ItemId> work = new ArrayList<>();
        final List<ItemId> dead = new ArrayList<>();
        for (final Kind k : List.of(Kind.SERVICE, Kind.ROUTE, Kind.PURGE)) {
            next.forEach((id, b) -> {
                if (id.kind() == k && !b.equals(now.get(id))) {
                    work.add(id);
                }
            });
        }
        for (final Kind k : List.of(Kind.ROUTE, Kind.SERVICE)) {
            now.keySet().stream()
                    .filter(id -> id.kind() == k && !next.containsKey(id))
                    .forEach(dead::add);
        }
        work.addAll(dead);
        step(work, next, new ArrayList<>(), 200, back);
    }

    private void step(
            final List<ItemId> work,
            final Map<ItemId, String> next,
            final List<Map<String, Object>> done,
            final int worst,
            final Consumer<ApiResult> back) {
        if (work.isEmpty()) {
            back.accept(new ApiResult(
                    worst,
                    ApiResult.members(
                            "fate", worst == 200 ? "done" : worst == 504 ? "unknown" : "refused", "items", done)));
            return;
        }
        final ItemId id = work.get(0);
        final long ver = held.get(id).ver().n();
        final String body = next.get(id);
        write(id, ver, null, now -> body == null ? now.grave("") : now.next(body, ""), s -> {
            done.add(s.body());
            if (s.status() != 200 && s.status() != 409) {
                step(List.of(), next, done, s.status(), back);
            } else {
                step(work.subList(1, work.size()), next, done, Math.max(worst, s.status()), back);
            }
        });
    }

    public void announce(final String name, final byte[] data, final Consumer<ApiResult> back) {
        checked(
                () -> announcements.check(name, data),
                body -> announcements.write(
                        name, Json.read(body, Origin.class), r -> back.accept(said(new ItemId(Kind.ORIGIN, name), r))),
                back);
    }

    public ApiResult get(final ItemId id) {
        final Item i = held.get(id);
        if (i.ver().equals(Ver.ZERO) || i.gone()) {
            return new ApiResult(
                    404,
                    ApiResult.members(
                            "item",
                            id.kind().word() + "/" + id.name(),
                            "version",
                            i.ver().n(),
                            "state",
                            "absent"));
        }
        final Map<String, Object> all = ApiResult.members(
                "item",
                id.kind().word() + "/" + id.name(),
                "version",
                i.ver().n(),
                "state",
                "stated",
                "body",
                Json.read(i.body(), Map.class));
        final List<Object> unfit = unfit().stream()
                .filter(f -> f.place().startsWith(path(id) + "/"))
                .<Object>map(f -> ApiResult.members("path", f.place(), "text", f.text()))
                .toList();
        if (!unfit.isEmpty()) {
            all.put("findings", unfit);
        }
        return new ApiResult(200, all);
    }

    /** What was accepted piece by piece and does not fit together now. */
    public List<Finding> unfit() {
        final List<Finding> list = new ArrayList<>();
        Config.of(held).check(list);
        return list;
    }

    public ApiResult list(final Kind kind) {
        final Map<String, Object> all = new TreeMap<>();
        held.all().stream()
                .map(org.rowanvalve.common.Msg.Chosen::item)
                .filter(i -> i.id().kind() == kind && i.live())
                .forEach(i -> all.put(
                        i.id().name(),
                        ApiResult.members("version", i.ver().n(), "body", Json.read(i.body(), Map.class))));
        return new ApiResult(200, ApiResult.members("kind", kind.word(), "items", all));
    }

    public static byte[] bytes(final ApiResult s) {
        return Json.text(s.body()).getBytes(StandardCharsets.UTF_8);
    }
}
