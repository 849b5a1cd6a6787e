package org.rowanvalve.data;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.Condition;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.Member;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Role;
import org.rowanvalve.control.Match;
import org.rowanvalve.control.Origin;
import org.rowanvalve.control.Plan;

/** A request's way through an edge, on routes whose uncached requests may go through any shield. */
class EdgeTest extends EdgeFixture {
    @Test
    void whatNeedsNoRightGoesThroughTheNearestShield() {
        ask(Match.STATUS);
        assertEquals(N1, at(0).to());
        assertTrue(at(0).fill().pass());
        assertFalse(at(0).fill().extra());
        assertEquals(-1, at(0).fill().shard());
        assertNull(at(0).fill().mark());
        assertTrue(at(0).fill().span() < 1200 && at(0).fill().span() > 1000);
        back(0, good("x"));
        assertEquals(200, status());
    }

    @Test
    void aShieldThatRefusedHasSentNothingSoTheNextIsNoExtraTry() {
        ask(Match.SINGLE);
        back(0, refused(500));
        back(1, unsent());
        assertEquals(N2, at(1).to());
        assertFalse(at(1).fill().extra() || at(2).fill().extra());
        back(2, refused(500));
        assertEquals(503, status());
        assertEquals(Answer.REFUSED, said.get(0).fate());
    }

    @Test
    void aReadIsAskedElsewhereAsAnExtraTryAnythingElseIsNot() {
        ask(Match.STATUS);
        back(0, silent());
        assertTrue(at(1).fill().extra());
        back(1, good("x"));
        assertEquals(200, status());
        said.clear();
        asked.clear();
        ask(Match.SINGLE);
        back(0, silent());
        loop.run(1300);
        assertEquals(1, asked.size());
        assertEquals(504, status());
        assertEquals(Answer.UNKNOWN, said.get(0).fate());
    }

    @Test
    void aShieldThatFallsSilentIsNotWaitedForByReads() {
        ask(Match.STATUS);
        loop.run(250);
        assertEquals(1, asked.size(), "it is heard from");
        silence.put(N1, 1000L);
        loop.run(100);
        assertEquals(2, asked.size());
        assertEquals(N2, at(1).to());
        back(0, good("first"));
        back(1, good("second"));
        assertEquals(200, status());
        said.clear();
        asked.clear();
        ask(Match.SINGLE);
        loop.run(900);
        assertEquals(1, asked.size(), "at most once");
    }

    @Test
    void aKeyedRequestIsAskedAgainUnderItsKey() {
        ask(Match.ONCE);
        assertEquals(0, at(0).fill().shard());
        back(0, silent());
        loop.run(70);
        assertEquals("k", at(1).fill().key());
        back(1, refused(500));
        loop.run(200);
        back(2, good("x"));
        assertEquals(200, status());
    }

    @Test
    void aRefusalPromisesNothingOnceAWayMayHaveSentIt() {
        ask(Match.ONCE);
        back(0, silent());
        loop.run(70);
        for (int i = 1; i < 20 && said.isEmpty(); i++) {
            back(i, refused(500));
            loop.run(300);
        }
        assertEquals(504, status());
        assertEquals(Answer.UNKNOWN, said.get(0).fate());
    }

    @Test
    void aRefusalStandsWhereNothingWasEverSent() {
        ask(Match.ONCE);
        for (int i = 0; i < 20 && said.isEmpty(); i++) {
            back(i, i % 2 == 0 ? unsent() : refused(500));
            loop.run(300);
        }
        assertEquals(503, status());
        assertEquals(Answer.REFUSED, said.get(0).fate());
        assertTrue(said.get(0).retryMs() > 0);
        assertTrue(heard < 10_000 + 1200, "before the caller gives up");
    }

    @Test
    void whatTheHolderDoesNotKnowIsUnknown() {
        ask(Match.ONCE);
        back(0, filled(Answer.UNKNOWN, 502, "lost", 0, null));
        assertEquals(504, status());
    }

    @Test
    void anEarlierHoldersAnswerIsNoAnswer() {
        ask(Match.ONCE);
        put(ItemId.PLAN, 2, new Plan(2, 1, List.of(new Plan.Part("n2", 1, 2))));
        back(0, silent());
        loop.run(70);
        assertEquals(N2, at(1).to());
        back(1, good("low token"));
        assertEquals(504, status());
    }

    @Test
    void withAStaleFrameOnlyWhatNeedsNoRightGoesOnAndOnlyWhereNobodyCanBeHeard() {
        fresh = false;
        ask(Match.STATUS);
        ask(Match.CACHED);
        assertEquals(List.of(503, 503), said.stream().map(Answer::status).toList());
        assertEquals(0, asked.size());
        alone = true;
        ask(Match.STATUS);
        ask(Match.CACHED);
        assertTrue(at(0).fill().pass() && at(1).fill().pass());
        edge.take(
                new ClientRequest("GET", "h", "/nowhere/1", null, new byte[0], null, "id", 1200, null, Map.of()),
                said::add);
        assertEquals(503, said.get(2).status(), "no 404 without a confirmed frame");
    }

    /** Once only needs a holder; everything else an origin takes from the edge itself, as long as no shield is heard of. */
    @Test
    void anEdgeThatHearsNoShieldSendsReadsItself() {
        final Yes port = new Yes(loop, new ArrayList<>());
        final List<Port.Send> sent = port.sent();
        final Member self = new Member(NodeId.of("e"), Role.EDGE, "z", "127.0.0.1", 1, "b", Condition.READY, "1");
        direct = new Sender(
                Setup.of(self).build(),
                loop,
                net,
                port,
                view,
                null,
                new Sender.Ties(() -> fresh, () -> alone, List::of, () -> 2),
                journal);
        put(new ItemId(Kind.ORIGIN, "o"), 1, new Origin("s", "10.0.0.1", 80, "o", "open", 0, 0, false, 1, "z", 4, 0));
        ask(Match.STATUS);
        loop.run(5);
        assertEquals(1, asked.size(), "a shield is there");
        asked.clear();
        near.clear();
        ask(Match.STATUS);
        ask(Match.CACHED, "bytes=1-2", Map.of("If-None-Match", "\"v1\""));
        loop.run(5);
        assertEquals(List.of(200, 206), said.stream().map(Answer::status).toList());
        assertEquals(Map.of("x", "y"), said.get(0).heads());
        assertEquals(
                List.of("/status/1", "/cached/1"),
                sent.stream().map(Port.Send::path).toList());
        assertEquals(Map.of(), sent.get(1).heads());
        assertEquals("id", sent.get(0).id());
        ask(Match.ONCE);
        loop.run(1200);
        assertEquals(2, sent.size());
    }

    @Test
    void whereNoShieldIsHeardOfTheRefusalComesAtOnce() {
        near.clear();
        final long begun = loop.now();
        ask(Match.STATUS);
        ask(Match.CACHED);
        assertEquals(List.of(503, 503), said.stream().map(Answer::status).toList());
        assertTrue(loop.now() - begun < 10);
        ask(Match.ONCE);
        loop.run(1200);
        assertEquals(503, said.get(2).status());
    }
}
