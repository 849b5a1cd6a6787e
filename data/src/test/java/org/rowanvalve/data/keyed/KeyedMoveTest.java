package org.rowanvalve.data.keyed;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.message.ForwardResponse;
import org.rowanvalve.common.message.KeyedRecord;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.data.cancel.Cancellation;
import org.rowanvalve.data.origin.OriginDispatcher;
import org.rowanvalve.data.origin.OriginTransport;

/**
 * Guards against keys that are never answered again because their shard moved while their origin worked: the earlier holder
 * goes on with its attempt, and the next one gives its outcome to repeats.
 */
class KeyedMoveTest extends KeyedHolderFixture {
    private static final NodeId EARLIER = NodeId.of("earlier");
    private static final NodeId GONE = NodeId.of("gone");
    private static final byte[] BODY = {42};
    private static final long STEP_MS = 200;
    private static final long PROMPT_MS = 1000;
    private final KeyedRequests earlier = newKeyedRequests("earlier");
    private final List<Consumer<OriginDispatcher.Completion>> working = new ArrayList<>();
    private final List<ForwardResponse> atEarlier = new ArrayList<>();
    private final List<ForwardResponse> atNext = new ArrayList<>();
    private KeyedRequests next;

    private void request(final KeyedRequests holder, final String key, final List<ForwardResponse> to) {
        holder.handle(
                new KeyedRequest(SHARD, key, "d".repeat(64), "id"), 1000, Cancellation.NEVER, working::add, to::add);
        replicas.loop.run(STEP_MS);
    }

    private static OriginDispatcher.Completion completed() {
        return new OriginDispatcher.Completion(
                new OriginTransport.OriginResponse(OriginTransport.ExchangeResult.COMPLETE, 201, Map.of(), BODY, ""),
                true,
                0,
                0);
    }

    private static OriginDispatcher.Completion failed(final boolean mayHaveRun) {
        return new OriginDispatcher.Completion(
                OriginTransport.OriginResponse.failure(
                        mayHaveRun ? OriginTransport.ExchangeResult.LOST : OriginTransport.ExchangeResult.NOT_SENT,
                        "failed"),
                mayHaveRun,
                0,
                0);
    }

    private void end(final OriginDispatcher.Completion completion) {
        working.remove(0).accept(completion);
        replicas.loop.run(STEP_MS);
    }

    /** Moves the shard while the attempt of a key is at work; another key makes the next holder read the records. */
    private void moveUnderWork(final String key) {
        request(earlier, key, atEarlier);
        assertEquals(1, working.size());
        replicas.shields.put(EARLIER, earlier);
        otherShields = List.of(EARLIER);
        next = newKeyedRequests("next", startHolder(new FencingToken(1, 2)));
        request(next, "another", new ArrayList<>());
        assertEquals(2, working.size());
        working.remove(1).accept(completed());
        replicas.loop.run(STEP_MS);
    }

    private static void assertOutcome(final List<ForwardResponse> responses) {
        assertEquals(1, responses.size());
        assertEquals(RequestOutcome.DONE, responses.get(0).fate());
        assertArrayEquals(BODY, responses.get(0).body());
    }

    @Test
    void repeatAtTheNextHolderWaitsForTheAttemptThatTheEarlierOneWorksOn() {
        moveUnderWork("k");
        request(next, "k", atNext);
        assertEquals(List.of(), atNext, "in progress at the earlier holder");
        end(completed());
        assertOutcome(atEarlier);
        assertOutcome(atNext);
        assertEquals(List.of(), working, "the key is executed once");
    }

    @Test
    void outcomeOfAnEarlierHolderIsKeptAfterItsProcessHasEnded() {
        moveUnderWork("k");
        end(completed());
        assertOutcome(atEarlier);
        otherShields = List.of();
        request(next, "k", atNext);
        assertOutcome(atNext);
        atNext.clear();
        final KeyedRequests third = newKeyedRequests("third", startHolder(new FencingToken(1, 3)));
        request(third, "k", atNext);
        assertOutcome(atNext);
        assertEquals(List.of(), working);
    }

    @Test
    void attemptThatTheEarlierHolderNeverSentIsMadeByTheNextOne() {
        moveUnderWork("k");
        request(next, "k", atNext);
        end(failed(false));
        assertEquals(RequestOutcome.REFUSED, atEarlier.get(0).fate());
        replicas.loop.run(STEP_MS);
        assertEquals(1, working.size(), "the next holder makes an attempt of its own");
        end(completed());
        assertOutcome(atNext);
    }

    @Test
    void markOfAnUnsentAttemptIsKeptAfterItsProcessHasEnded() {
        moveUnderWork("k");
        end(failed(false));
        otherShields = List.of();
        request(next, "k", atNext);
        assertEquals(1, working.size());
        end(completed());
        assertOutcome(atNext);
    }

    @Test
    void lostResponseIsUnknownAtTheNextHolderToo() {
        moveUnderWork("k");
        request(next, "k", atNext);
        end(failed(true));
        replicas.loop.run(PROMPT_MS);
        assertEquals(RequestOutcome.UNKNOWN, atEarlier.get(0).fate());
        assertEquals(RequestOutcome.UNKNOWN, atNext.get(0).fate());
        assertEquals(List.of(), working);
    }

    /** What nobody can know is told at once, and not held back until the deadline. */
    @Test
    void attemptOfAHolderThatIsGoneIsUnknownAtOnce() {
        moveUnderWork("k");
        otherShields = List.of(GONE);
        request(next, "k", atNext);
        replicas.loop.run(PROMPT_MS - STEP_MS);
        assertEquals(RequestOutcome.UNKNOWN, atNext.get(0).fate());
    }

    private static KeyedRecord intent(final long attemptId) {
        return new KeyedRecord("k", SHARD, TOKEN, "d", attemptId, false, null);
    }

    /** Guards against a key that runs twice, because one of several attempts that may have run is known not to be sent. */
    @Test
    void wordThatOneAttemptWasNotSentSaysNothingOfAnother() {
        final AttemptQuery.Result notSent = new AttemptQuery.Result(AttemptQuery.End.NOT_SENT, null);
        final KeyedEntry onlyAttempt = KeyedEntry.of(intent(2), false, 0);
        onlyAttempt.onQueried(1, notSent, 0);
        assertEquals(KeyedEntry.State.MAY_HAVE_RUN, onlyAttempt.state(), "another attempt was asked about");
        onlyAttempt.onQueried(2, notSent, 0);
        assertEquals(KeyedEntry.State.NOT_SENT, onlyAttempt.state());
        final KeyedEntry oneOfSeveral = KeyedEntry.of(intent(2), true, 0);
        oneOfSeveral.onQueried(2, notSent, 0);
        assertEquals(KeyedEntry.State.MAY_HAVE_RUN, oneOfSeveral.state());
        final KeyedEntry afterOwnAttempt = new KeyedEntry("d", 0);
        afterOwnAttempt.begin(0);
        afterOwnAttempt.attemptId = 1;
        afterOwnAttempt.end(false, 0);
        afterOwnAttempt.adopt(intent(2), 0);
        afterOwnAttempt.onQueried(2, notSent, 0);
        assertEquals(KeyedEntry.State.MAY_HAVE_RUN, afterOwnAttempt.state(), "the own attempt may have run");
    }

    @Test
    void shardThatReturnsToItsEarlierHolderJoinsItsOwnAttempt() {
        moveUnderWork("k");
        final KeyedRequests returned = earlier;
        grantAgain(new FencingToken(1, 3));
        request(returned, "k", atNext);
        assertEquals(List.of(), atNext);
        end(completed());
        assertOutcome(atEarlier);
        assertOutcome(atNext);
        assertTrue(working.isEmpty());
    }
}
