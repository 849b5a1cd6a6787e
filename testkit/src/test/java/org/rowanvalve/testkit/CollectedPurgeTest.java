package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.rowanvalve.common.model.ItemKind;

/**
 * Guards against purged copies that are served again (STALE) once their purges have been garbage collected, because the
 * routes of that moment had a short time to live or because a node did not know the purges.
 */
class CollectedPurgeTest {
    private static final long LONG_MS = 600_000;
    private static final long SHORT_MS = 5000;
    /** After this time under {@link #SHORT_MS} the leader has collected purges. */
    private static final long COLLECTED_MS = 88_000;

    private static final long PURGE_MS = 2000;

    /** Which routes stand while the purges are collected, and which stand again afterwards. */
    enum Way {
        SHORT_TIME_BETWEEN(
                pages -> pages.change("page", pages.route(SHORT_MS)),
                pages -> pages.change("page", pages.route(LONG_MS))),
        ANOTHER_ROUTE_BETWEEN(
                pages -> pages.change(Map.of("other", pages.route(SHORT_MS)), "page"),
                pages -> pages.change(Map.of("page", pages.route(LONG_MS)), "other")),
        ANOTHER_ROUTE_AFTERWARDS(
                pages -> pages.change("page", pages.route(SHORT_MS)),
                pages -> pages.change(Map.of("other", pages.route(LONG_MS)), "page")),
        NO_ROUTE_BETWEEN(pages -> pages.change(Map.of(), "page"), pages -> pages.change("page", pages.route(LONG_MS))),
        ANOTHER_MODE_BETWEEN(
                pages -> pages.change("page", pages.route(CachedPages.PREFIX, "status", 0)),
                pages -> pages.change("page", pages.route(LONG_MS)));

        private final Consumer<CachedPages> before;
        private final Consumer<CachedPages> after;

        Way(final Consumer<CachedPages> before, final Consumer<CachedPages> after) {
            this.before = before;
            this.after = after;
        }
    }

    private static CachedPages readPages(final long seed) {
        final CachedPages pages = new CachedPages(seed);
        pages.change("page", pages.route(LONG_MS));
        pages.expect(1, pages.readAll(List.of("ed1", "ed2"), Map.of()));
        pages.replaceAll();
        return pages;
    }

    private static void assertCollected(final CachedPages pages) {
        final long left = pages.cluster().node("sh1").node().items().all().stream()
                .filter(chosen -> chosen.item().id().kind() == ItemKind.PURGE)
                .count();
        assertTrue(left < CachedPages.PAGES, left + " purges are not collected");
    }

    @ParameterizedTest
    @EnumSource
    void purgedPathsAreNotServedAgain(final Way way) {
        final CachedPages pages = readPages(way.ordinal());
        pages.purgeAll();
        way.before.accept(pages);
        pages.cluster().run(COLLECTED_MS);
        assertCollected(pages);
        way.after.accept(pages);
        pages.cluster().run(PURGE_MS);
        pages.expect(2, pages.readAll());
    }

    @ParameterizedTest
    @EnumSource
    void purgedTagsAreNotServedAgain(final Way way) {
        final CachedPages pages = readPages(way.ordinal());
        pages.purgeAllByTag();
        way.before.accept(pages);
        pages.cluster().run(COLLECTED_MS);
        way.after.accept(pages);
        pages.cluster().run(PURGE_MS);
        pages.expect(2, pages.readAll());
    }

    /** An edge and a shield are cut off while pages are purged, and return once the purges are collected. */
    @ParameterizedTest
    @EnumSource
    void purgesThatANodeNeverKnewHoldThere(final Way way) {
        final CachedPages pages = readPages(way.ordinal());
        pages.cluster().cut(List.of("ed1", "sh4"), COLLECTED_MS + 20_000);
        pages.cluster().run(5000);
        pages.purgeAll();
        way.before.accept(pages);
        pages.cluster().run(COLLECTED_MS);
        assertCollected(pages);
        way.after.accept(pages);
        pages.cluster().run(20_000);
        pages.expect(2, pages.readAll());
    }

    /** A frozen edge goes on once the purges are collected. */
    @ParameterizedTest
    @EnumSource
    void purgesDuringAFreezeHold(final Way way) {
        final CachedPages pages = readPages(way.ordinal());
        pages.cluster().freeze("ed1", COLLECTED_MS + 15_000);
        pages.purgeAll();
        way.before.accept(pages);
        pages.cluster().run(COLLECTED_MS);
        way.after.accept(pages);
        pages.cluster().run(15_000);
        pages.expect(2, pages.readAll());
    }

    /** The leader that collects is one that took over after the purges. */
    @ParameterizedTest
    @EnumSource
    void anotherLeaderCollects(final Way way) {
        final CachedPages pages = readPages(way.ordinal());
        pages.purgeAll();
        way.before.accept(pages);
        pages.cluster().kill(pages.cluster().boss(), 3000);
        pages.cluster().run(COLLECTED_MS + 15_000);
        way.after.accept(pages);
        pages.cluster().run(PURGE_MS);
        pages.expect(2, pages.readAll());
    }

    /** Collected purges end no copies that were filled after them. */
    @Test
    void copiesFilledAfterAPurgeAreServedOnceItIsCollected() {
        final CachedPages pages = readPages(1);
        pages.change("page", pages.route(SHORT_MS));
        pages.purgeAll();
        pages.cluster().run(PURGE_MS);
        pages.change("page", pages.route(LONG_MS));
        pages.readAll();
        final List<CachedPages.Read> held = pages.readAll();
        pages.replaceAll();
        pages.change("page", pages.route(SHORT_MS));
        pages.cluster().run(COLLECTED_MS);
        assertCollected(pages);
        pages.change("page", pages.route(LONG_MS));
        pages.cluster().run(PURGE_MS);
        CachedPages.expectHits(2, held, pages.readAll());
    }
}
