package org.rowanvalve.data.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.message.ForwardResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.common.model.VersionVector;
import org.rowanvalve.control.config.Purge;
import org.rowanvalve.control.config.RouteMode;
import org.rowanvalve.data.origin.OriginDispatch;
import org.rowanvalve.data.request.ClientResponse;

/** Reads that may be kept, at an edge: one pass for all who wait, and what goes on where no holder may fill. */
class EdgeReadsTest extends EdgeFixture {
    @Test
    void readsGoOnWithoutAHolderUnkept() {
        near.remove(N1);
        ask(RouteMode.CACHED);
        assertTrue(at(0).fill().passThrough());
        back(0, good("x"));
        assertEquals(200, status());
        ask(RouteMode.CACHED);
        assertEquals(2, asked.size(), "not kept");
    }

    @Test
    void readsGoOnWhereTheHolderFallsSilent() {
        ask(RouteMode.CACHED);
        assertFalse(at(0).fill().passThrough());
        silence.put(N1, 1000L);
        loop.run(350);
        assertTrue(at(1).fill().passThrough());
        back(1, good("x"));
        back(0, good("late"));
        assertEquals(200, status());
    }

    private VersionVector mark() {
        return configuration.versionsOf(configuration.route("h", "/cached/1").orElseThrow(), "/cached/1");
    }

    @Test
    void aCopyServesAllWhoWaitAndWhoComesLaterAlsoInParts() {
        ask(RouteMode.CACHED);
        ask(RouteMode.CACHED, "bytes=1-2", Map.of());
        assertEquals(1, asked.size());
        back(0, filled(RequestOutcome.DONE, 200, "abcd", 0, mark()));
        assertEquals(
                List.of(200, 206), said.stream().map(ClientResponse::status).toList());
        ask(RouteMode.CACHED, "bytes=9-", Map.of());
        ask(RouteMode.CACHED);
        assertEquals(
                List.of(200, 206, 416, 200),
                said.stream().map(ClientResponse::status).toList());
        assertEquals(1, asked.size());
        assertEquals("bc", new String(said.get(1).body()));
    }

    @Test
    void whatWasPurgedWhileItWasFilledIsFilledAnew() {
        ask(RouteMode.CACHED);
        put(new ItemId(ItemKind.PURGE, "h.1"), 4, new Purge(null, "/cached/1", null, "h", null));
        back(0, filled(RequestOutcome.DONE, 200, "old", 0, new VersionVector(Map.of())));
        loop.run(70);
        assertEquals(Map.of("p/h.1", 4L), at(1).fill().versions().versions());
        put(new ItemId(ItemKind.PURGE, "t.1"), 5, new Purge(null, null, null, null, "t1"));
        final Map<String, Long> tagged = new HashMap<>(mark().versions());
        tagged.put("t/t1", 0L);
        back(1, filled(RequestOutcome.DONE, 200, "old", 0, new VersionVector(tagged)));
        loop.run(130);
        tagged.put("t/t1", 5L);
        back(2, filled(RequestOutcome.DONE, 200, "new", 0, new VersionVector(tagged)));
        assertEquals("new", new String(said.get(0).body()));
        assertEquals(1, said.size());
        put(new ItemId(ItemKind.PURGE, "t.1"), 6, new Purge(null, null, null, null, "t1"));
        ask(RouteMode.CACHED);
        assertEquals(4, asked.size(), "the kept copy has that tag");
    }

    /** What one caller has already is no answer for another who waits for the same fill. */
    @Test
    void oneCallersConditionsDoNotGoWithAFillForMany() {
        ask(RouteMode.CACHED, null, Map.of("If-None-Match", "\"v1\"", "Accept-Language", "sw"));
        ask(RouteMode.CACHED);
        assertEquals(Map.of("Accept-Language", "sw"), at(0).fill().headers());
        ask(RouteMode.STATUS, null, Map.of("If-None-Match", "\"v1\""));
        assertEquals(Map.of("If-None-Match", "\"v1\""), at(1).fill().headers());
    }

    /** It answers, and may not fill: a read is worth less with each moment, so it goes on without the right. */
    @Test
    void aReadWaitsForAHolderThatMayNotFillForAQuarterOfItsAimAtMost() {
        aim(RouteMode.CACHED, 400);
        final long begun = loop.now();
        ask(RouteMode.CACHED);
        back(0, refused(500));
        loop.run(70);
        assertFalse(at(1).fill().passThrough(), "it may have got the right meanwhile");
        back(1, refused(500));
        loop.run(30);
        assertTrue(at(2).fill().passThrough());
        assertFalse(at(2).fill().retry(), "nothing was sent");
        assertTrue(loop.now() - begun <= 110, "a quarter of 400");
        back(2, good("x"));
        assertEquals(200, status());
        said.clear();
        asked.clear();
        ask(RouteMode.CACHED);
        back(0, refused(1000));
        assertTrue(at(1).fill().passThrough(), "at once where the holder needs longer");
    }

    @Test
    void aReadThatNobodyMayFillIsRefusedAtOnceWithWhenToComeBack() {
        aim(RouteMode.CACHED, 400);
        ask(RouteMode.CACHED);
        near.clear();
        final long begun = loop.now();
        back(0, refused(1000));
        assertEquals(503, status());
        assertEquals(begun, loop.now());
        assertEquals(1000, said.get(0).retryAfterMs());
    }

    /** Passed through by another shield it would cost as much of the ceiling and be kept by nobody. */
    @Test
    void aReadForWhichTheCeilingHasNoRoomIsRefusedAtOnce() {
        ask(RouteMode.CACHED);
        back(
                0,
                Reply.of(filled(RequestOutcome.REFUSED, 503, OriginDispatch.RATE_EXHAUSTED, 1000, null)
                        .as(ForwardResponse.class)
                        .orElseThrow()
                        .withUnusedAttempts(1)));
        assertEquals(1, asked.size(), "no other shield is asked");
        assertEquals(503, status());
    }
}
