package org.rowanvalve.data.origin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.control.lease.FenceReason;

/** Each request that this node breaks off while an origin is at work on it is told with its cause and its times. */
class BrokenOffWorkTest extends CancellationFixture {
    private static final long WORKED_MS = 40;
    private static final long TIMEOUT_MS = 3000;

    @BeforeEach
    void configure() {
        service(0);
        origin("a", 4);
    }

    private List<Map<String, Object>> breaks() {
        return journal.recent().stream()
                .filter(entry -> entry.event().code() == EventCode.WORK_BROKEN_OFF)
                .map(entry -> entry.event().facts())
                .toList();
    }

    private void assertBroken(final String cause, final String kind) {
        final List<Map<String, Object>> breaks = breaks();
        assertEquals(1, breaks.size());
        assertEquals(cause, breaks.get(0).get("cause"));
        assertEquals(kind, breaks.get(0).get("kind"));
        assertEquals("a", breaks.get(0).get("origin"));
        assertEquals(WORKED_MS, ((Number) breaks.get(0).get("workedMs")).longValue(), 2);
        assertEquals(TIMEOUT_MS - WORKED_MS, ((Number) breaks.get(0).get("deadlineLeftMs")).longValue(), 4);
    }

    @Test
    void clientThatLeavesIsTheCauseOfABreak() {
        final PendingRequest pending = new PendingRequest("/1");
        loop.run(WORKED_MS);
        pending.cancel();
        assertBroken("client-left", "repeatable");
        assertEquals("", breaks().get(0).get("graceLeftMs"));
    }

    @Test
    void endOfTheLeaseIsTheCauseOfABreak() {
        new PendingRequest("/1", true, OriginRequest.WhenCancelled.FINISH_SENT);
        loop.run(WORKED_MS);
        dispatcher.stop(OriginRequest.NO_SHARD, FenceReason.EXPIRED, 0, stopped -> {});
        loop.run(1);
        assertBroken("lease-expired", "at-most-once");
    }

    @Test
    void endOfTheProcessIsTheCauseOfABreakAndTellsWhatWasLeftOfTheGrace() {
        new PendingRequest("/1");
        dispatcher.onStopping(loop.now() + 1000);
        loop.run(WORKED_MS);
        dispatcher.onProcessEnd();
        assertBroken("process-end", "repeatable");
        assertEquals(1000 - WORKED_MS, ((Number) breaks().get(0).get("graceLeftMs")).longValue());
    }

    @Test
    void answeredRequestsAreNotBrokenOff() {
        new PendingRequest("/1");
        loop.run(WORKED_MS);
        sent.get(0).answer(OriginTransport.Load.NONE);
        loop.run(1);
        dispatcher.onProcessEnd();
        assertEquals(List.of(), breaks());
    }
}
