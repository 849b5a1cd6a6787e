package org.rowanvalve.control.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.operator.UpdateModel.Revision;
import org.rowanvalve.control.voting.VoterFixture;

/** Generated updates get the same verdicts as from {@link UpdateModel} and leave the same items. */
class UpdateModelTest {
    private static final String DELETED = "-";
    private static final int MAX_REVISIONS = 5;
    private static final int MAX_UPDATES = 10;
    private static final int HIGHEST_VERSION = 6;

    /** The errors that a revision may have by itself. */
    private enum Defect {
        NONE,
        NO_ATTEMPTS,
        NO_WEIGHT
    }

    private static Revision service(final String name, final int version, final int note) {
        return new Revision(
                "services/" + name,
                version,
                Json.write(new TreeMap<>(Map.of("kind", "open", "note", "n" + note))),
                Set.of(),
                true);
    }

    private static Revision route(
            final String name, final int version, final int note, final Set<String> services, final Defect defect) {
        final List<Object> split = new ArrayList<>();
        services.stream()
                .sorted()
                .forEach(service -> split.add(new TreeMap<>(
                        Map.of("service", service, "weight", split.isEmpty() && defect != Defect.NO_WEIGHT ? 1 : 0))));
        final Map<String, Object> body = new TreeMap<>(Map.of("prefix", "/x/", "host", "h", "mode", "status"));
        body.put("split", split);
        body.put("note", "n" + note);
        body.put("tries", defect == Defect.NO_ATTEMPTS ? 0 : 2);
        return new Revision("routes/" + name, version, Json.write(body), services, defect == Defect.NONE);
    }

    private static Revision deletion(final String item, final int version) {
        return new Revision(item, version, DELETED, null, true);
    }

    @Provide
    Arbitrary<List<List<Revision>>> updates() {
        final Arbitrary<Integer> versions = Arbitraries.integers().between(1, HIGHEST_VERSION);
        final Arbitrary<Integer> notes = Arbitraries.frequency(Tuple.of(4, 1), Tuple.of(1, 2));
        final Arbitrary<Revision> services =
                Combinators.combine(Arbitraries.of("s", "t"), versions, notes).as(UpdateModelTest::service);
        final Arbitrary<Set<String>> named = Arbitraries.frequencyOf(
                Tuple.of(12, Arbitraries.of("s", "t").set().ofMinSize(1)),
                Tuple.of(1, Arbitraries.just(Set.of("nobody", "s"))));
        final Arbitrary<Defect> defects = Arbitraries.frequency(
                Tuple.of(20, Defect.NONE), Tuple.of(1, Defect.NO_ATTEMPTS), Tuple.of(1, Defect.NO_WEIGHT));
        final Arbitrary<Revision> routes = Combinators.combine(
                        Arbitraries.of("r", "q"), versions, notes, named, defects)
                .as(UpdateModelTest::route);
        final Arbitrary<Revision> deletes = Combinators.combine(
                        Arbitraries.of("services/s", "services/t", "routes/r", "routes/q"), versions)
                .as(UpdateModelTest::deletion);
        return Arbitraries.frequencyOf(Tuple.of(3, services), Tuple.of(3, routes), Tuple.of(2, deletes))
                .list()
                .ofMinSize(1)
                .ofMaxSize(MAX_REVISIONS)
                .list()
                .ofMaxSize(MAX_UPDATES);
    }

    /**
     * Guards against an invalid revision that is acknowledged, wherever it is in the update, and against a valid update
     * that is rejected.
     */
    @Property(tries = 1500, seed = "44")
    void updatesAreAcceptedAndRejectedAsInTheModel(@ForAll("updates") final List<List<Revision>> updates) {
        final VoterFixture fixture = new VoterFixture();
        final UpdateService updateService = new UpdateService(
                fixture.loop,
                fixture,
                fixture.items,
                fixture.view,
                fixture.proposer,
                fixture.journal,
                fixture::tag,
                Optional::empty,
                UpdateLimits.DEFAULTS);
        final UpdateModel model = new UpdateModel();
        fixture.confirm();
        for (final List<Revision> update : updates) {
            final List<Integer> statuses = new ArrayList<>();
            updateService.apply(
                    text(update).getBytes(StandardCharsets.UTF_8), response -> statuses.add(response.status()));
            fixture.loop.run(100);
            assertEquals(List.of(model.apply(update)), statuses, () -> "update " + text(update));
            assertEquals(stateOf(model), stateOf(fixture), () -> "after update " + text(update));
        }
    }

    private static String text(final List<Revision> update) {
        final Map<String, Map<String, Map<String, List<Object>>>> all = new TreeMap<>();
        for (final Revision revision : update) {
            final int slash = revision.item().indexOf('/');
            final Map<String, Object> body = new HashMap<>();
            if (!revision.deletes()) {
                ((Map<?, ?>) Json.read(revision.body(), Map.class))
                        .forEach((name, value) -> body.put(String.valueOf(name), value));
                body.put("version", revision.version());
            }
            all.computeIfAbsent(revision.deletes() ? "drop" : "set", key -> new TreeMap<>())
                    .computeIfAbsent(revision.item().substring(0, slash), key -> new TreeMap<>())
                    .computeIfAbsent(revision.item().substring(slash + 1), key -> new ArrayList<>())
                    .add(revision.deletes() ? revision.version() : body);
        }
        return Json.write(all);
    }

    private static Map<String, String> stateOf(final UpdateModel model) {
        final Map<String, String> all = new TreeMap<>();
        model.current().forEach((item, revision) -> all.put(item, revision.version() + " " + noteOf(revision.body())));
        return all;
    }

    private static Map<String, String> stateOf(final VoterFixture fixture) {
        final Map<String, String> all = new TreeMap<>();
        fixture.items.all().stream()
                .map(ChosenItem::item)
                .filter(item ->
                        item.id().kind() == ItemKind.SERVICE || item.id().kind() == ItemKind.ROUTE)
                .forEach(item -> all.put(
                        item.id().kind().label() + "s/" + item.id().name(),
                        item.version().number() + " " + noteOf(item.exists() ? item.body() : DELETED)));
        return all;
    }

    private static Object noteOf(final String body) {
        return body.equals(DELETED) ? DELETED : Json.read(body, Map.class).get("note");
    }
}
