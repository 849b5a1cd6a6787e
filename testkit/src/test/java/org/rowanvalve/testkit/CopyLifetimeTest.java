package org.rowanvalve.testkit;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against copies that are served for longer than the route in force allows (STALE), in each way in which that
 * time may become shorter.
 */
class CopyLifetimeTest {
    private static final long LONG_MS = 40_000;
    private static final long SHORT_MS = 1000;
    private static final long APPLY_MS = 2500;
    private static final long STALE_SLACK_MS = 2000;
    private static final long FILL_MS = 900;

    /** How the time to live of pages that were read under {@link #LONG_MS} becomes {@link #SHORT_MS}. */
    enum Way {
        ONE_CHANGE(pages -> pages.change("page", pages.route(SHORT_MS))),
        TWO_CHANGES(pages -> {
            pages.change("page", pages.route(20 * SHORT_MS));
            pages.change("page", pages.route(SHORT_MS));
        }),
        ROUTE_WITH_A_LONGER_PREFIX(pages -> {
            for (int digit = 0; digit < 10; digit++) {
                pages.change("deep" + digit, pages.route(CachedPages.PREFIX + digit, "cached", SHORT_MS));
            }
        }),
        ANOTHER_ROUTE_OF_THE_SAME_PREFIX(pages -> pages.change(Map.of("other", pages.route(SHORT_MS)), "page")),
        ROUTE_WITH_A_SHORTER_PREFIX(pages -> {
            pages.change("outer", pages.route(CachedPages.SHORTER_PREFIX, "cached", SHORT_MS));
            pages.change(Map.of(), "page");
        }),
        ANOTHER_MODE_BETWEEN(pages -> {
            pages.change("page", pages.route(CachedPages.PREFIX, "status", 0));
            pages.change("page", pages.route(SHORT_MS));
        }),
        NO_LONGER_CACHED(pages -> pages.change("page", pages.route(CachedPages.PREFIX, "status", 0)));

        private final Consumer<CachedPages> shorten;

        Way(final Consumer<CachedPages> shorten) {
            this.shorten = shorten;
        }
    }

    private static CachedPages pagesUnderLongTime(final long seed) {
        final CachedPages pages = new CachedPages(seed);
        pages.change("page", pages.route(LONG_MS));
        return pages;
    }

    /** Shortens the time and then replaces all pages, for longer than the shorter time allows. */
    private static void shortenAndReplace(final CachedPages pages, final Way way) {
        way.shorten.accept(pages);
        pages.cluster().run(APPLY_MS);
        pages.replaceAll();
        pages.cluster().run(SHORT_MS + STALE_SLACK_MS);
    }

    @ParameterizedTest
    @EnumSource
    void copiesAtEdgesEndByTheTimeInForce(final Way way) {
        final CachedPages pages = pagesUnderLongTime(way.ordinal());
        pages.expect(1, pages.readAll());
        shortenAndReplace(pages, way);
        pages.expect(2, pages.readAll());
    }

    /** Only the first edge has read the pages; the others get what a shield holds. */
    @ParameterizedTest
    @EnumSource
    void copiesAtShieldsEndByTheTimeInForce(final Way way) {
        final CachedPages pages = pagesUnderLongTime(way.ordinal());
        pages.expect(1, pages.readAll(List.of("ed1"), Map.of()));
        shortenAndReplace(pages, way);
        pages.expect(2, pages.readAll(List.of("ed2", "ed3"), Map.of()));
    }

    @ParameterizedTest
    @EnumSource
    void conditionalRequestsGetNoEarlierVersion(final Way way) {
        final CachedPages pages = pagesUnderLongTime(way.ordinal());
        pages.expect(1, pages.readAll());
        shortenAndReplace(pages, way);
        pages.expect(2, pages.readAll(CachedPages.EDGES, Map.of("If-None-Match", "\"1\"")));
    }

    /** The time is shortened while the pages are being filled. */
    @ParameterizedTest
    @EnumSource
    void fillsUnderWayEndByTheTimeInForce(final Way way) {
        final CachedPages pages = pagesUnderLongTime(way.ordinal());
        pages.work(FILL_MS);
        final List<CachedPages.Read> first = new java.util.ArrayList<>();
        for (int page = 0; page < CachedPages.PAGES; page++) {
            pages.send(CachedPages.EDGES.get(page % 3), page, Map.of(), first);
        }
        pages.cluster().run(1);
        way.shorten.accept(pages);
        pages.cluster().run(APPLY_MS);
        pages.work(5);
        pages.replaceAll();
        pages.cluster().run(SHORT_MS + STALE_SLACK_MS);
        pages.expect(2, pages.readAll());
    }

    /** A time that becomes longer holds at once too: copies that had come to their end are served again. */
    @Test
    void copiesLiveLongerOnceTheTimeIsLonger() {
        final CachedPages pages = new CachedPages(1);
        pages.change("page", pages.route(LONG_MS));
        pages.readAll();
        final List<CachedPages.Read> held = pages.readAll();
        pages.cluster().run(LONG_MS);
        pages.change("page", pages.route(10 * LONG_MS));
        pages.replaceAll();
        CachedPages.expectHits(1, held, pages.readAll());
    }
}
