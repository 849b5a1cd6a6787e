package org.rowanvalve.server.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;

/** Guards against refused, lost and repeated requests of which the text log does not tell what they met. */
class RequestHistoryTest {
    private final RequestHistory history = new RequestHistory();
    private final List<String> written = new ArrayList<>();
    private long now = 1000;

    private void add(final EventCode code, final Object... facts) {
        now += 10;
        history.add(new LogEntry(now, Event.of(code, facts)))
                .forEach(entry -> written.add(
                        entry.wallMillis() + " " + entry.event().code().name()));
    }

    private void send(final String request) {
        add(EventCode.ORIGIN_SEND, "request", request, "atMostOnce", true);
    }

    private void end(final String request, final String result) {
        add(EventCode.ORIGIN_ENDED, "request", request, "result", result);
    }

    @Test
    void requestThatWentWellHasNoLine() {
        add(EventCode.INTENT_WRITTEN, "request", "r1", "result", "STORED");
        send("r1");
        end("r1", "COMPLETE");
        add(EventCode.KEYED_ENDED, "request", "r1", "executed", "DONE");
        add(EventCode.REQUEST_ENDED, "request", "r1", "fate", "done", "executed", "DONE");
        assertEquals(List.of(), written);
    }

    @Test
    void refusedRequestHasItsEarlierAndLaterEventsWithTheirTimes() {
        add(EventCode.INTENT_WRITTEN, "request", "r1", "result", "STORED");
        send("r1");
        send("r2");
        end("r1", "NOT_EXECUTED");
        send("r1");
        end("r1", "COMPLETE");
        add(EventCode.KEYED_ENDED, "request", "r1", "executed", "DONE");
        end("r2", "COMPLETE");
        assertEquals(
                List.of(
                        "1010 INTENT_WRITTEN",
                        "1020 ORIGIN_SEND",
                        "1040 ORIGIN_ENDED",
                        "1050 ORIGIN_SEND",
                        "1060 ORIGIN_ENDED",
                        "1070 KEYED_ENDED"),
                written);
    }

    @Test
    void repeatedKeyLostResponseRefusalAndFailedIntentAreEachReported() {
        add(EventCode.KEY_REPEATED, "request", "r1", "earlier", "COMPLETED");
        end("r2", "LOST");
        add(EventCode.REQUEST_ENDED, "request", "r3", "fate", "refused");
        add(EventCode.INTENT_WRITTEN, "request", "r4", "result", "FAILED");
        add(EventCode.KEYED_ENDED, "request", "r5", "executed", "MAY_HAVE_RUN");
        assertEquals(5, written.size(), written.toString());
    }

    @Test
    void repeatableRequestsAreNotHeld() {
        add(EventCode.ORIGIN_SEND, "request", "r1", "atMostOnce", false);
        add(EventCode.REQUEST_ENDED, "request", "r1", "fate", "refused");
        assertEquals(List.of("1020 REQUEST_ENDED"), written);
    }

    @Test
    void requestsThatWereSilentLongestAreForgotten() {
        send("first");
        for (int i = 0; i < RequestHistory.MAX_REQUESTS; i++) {
            send("r" + i);
        }
        end("first", "LOST");
        assertEquals(1, written.size(), "its send is forgotten");
    }

    @Test
    void linesBeyondTheBurstAreCountedAndTheRateIsBounded() {
        final LineLimit limit = new LineLimit(EventLog.REQUEST_LINES_PER_SECOND, EventLog.REQUEST_BURST_LINES);
        for (int i = 0; i < EventLog.REQUEST_BURST_LINES; i++) {
            assertTrue(limit.tryTake(0));
        }
        assertFalse(limit.tryTake(0));
        assertFalse(limit.tryTake(1));
        assertEquals(2, limit.takeLeftOut());
        int taken = 0;
        for (int i = 0; i < 2 * EventLog.REQUEST_LINES_PER_SECOND; i++) {
            taken += limit.tryTake(1000) ? 1 : 0;
        }
        assertEquals(EventLog.REQUEST_LINES_PER_SECOND, taken);
    }
}
