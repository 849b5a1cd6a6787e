package org.rowanvalve.control.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.message.HeartbeatResponse;
import org.rowanvalve.common.message.MessageCodec;
import org.rowanvalve.common.message.MessageFormatException;
import org.rowanvalve.common.model.Member;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.NodeStatus;
import org.rowanvalve.common.model.Role;

class MemberTableTest {
    private static final long FAILURE_TIMEOUT_MS = 2000;
    private final MemberTable table = new MemberTable(FAILURE_TIMEOUT_MS);
    private final SeedMemberView view = new SeedMemberView();
    private final Map<NodeId, Long> reportedSilences = new HashMap<>();
    private final Map<NodeId, Member> known = new HashMap<>();

    private static Member member(final String id, final String incarnation, final NodeStatus status) {
        return member(id, Role.SHIELD, incarnation, status);
    }

    private static Member member(final String id, final Role role, final String incarnation, final NodeStatus status) {
        return new Member(NodeId.of(id), role, "zone", "10.0.0.1", 7000, incarnation, status, "0.1.0");
    }

    private HeartbeatResponse response(final String listId, final long now) {
        final long since = view.listId().equals(listId) ? view.lastChange() : 0;
        return new HeartbeatResponse(
                null,
                now,
                listId,
                table.lastChange(),
                table.changesSince(since, now),
                table.coreSilences(now),
                table.edgeSilences(now));
    }

    private void apply(final HeartbeatResponse response) throws MessageFormatException {
        reportedSilences.clear();
        view.apply(MessageCodec.decode(MessageCodec.encode(response), HeartbeatResponse.class), (member, silenceMs) -> {
            reportedSilences.put(member.id(), silenceMs);
            known.put(member.id(), member);
        });
    }

    @Test
    void membersAreReportedOnceAndTheirSilenceInEachResponse() throws MessageFormatException {
        table.record(member("a", "b1", NodeStatus.READY), 1000, 1000);
        table.record(member("b", "b1", NodeStatus.READY), 1200, 1200);
        final HeartbeatResponse first = response("s", 1303);
        assertEquals(2, first.changes().size());
        apply(first);
        assertEquals(Map.of(NodeId.of("a"), 310L, NodeId.of("b"), 110L), reportedSilences);
        table.record(member("a", "b1", NodeStatus.READY), 1500, 1500);
        final HeartbeatResponse next = response("s", 1600);
        assertEquals(List.of(), next.changes());
        apply(next);
        assertEquals(Map.of(NodeId.of("a"), 100L, NodeId.of("b"), 400L), reportedSilences);
    }

    @Test
    void aChangeIsReportedInTheNextResponse() throws MessageFormatException {
        table.record(member("a", "b1", NodeStatus.READY), 1000, 1000);
        apply(response("s", 1000));
        table.record(member("a", "b2", NodeStatus.DRAINING), 1100, 1100);
        apply(response("s", 1100));
        assertEquals("b2", known.get(NodeId.of("a")).incarnation());
        assertEquals(NodeStatus.DRAINING, known.get(NodeId.of("a")).status());
    }

    @Test
    void changesOfALostResponseAreReportedInTheNext() throws MessageFormatException {
        table.record(member("a", "b1", NodeStatus.READY), 1000, 1000);
        response("s", 1000);
        table.record(member("b", "b1", NodeStatus.READY), 1100, 1100);
        apply(response("s", 1200));
        assertEquals(2, reportedSilences.size());
    }

    @Test
    void aLostMemberIsReportedOnlyAfterItsReturn() throws MessageFormatException {
        table.record(member("a", "b1", NodeStatus.READY), 1000, 1000);
        apply(response("s", 3001));
        assertTrue(reportedSilences.isEmpty());
        table.record(member("a", "b1", NodeStatus.READY), 3100, 3100);
        apply(response("s", 3100));
        assertEquals(Map.of(NodeId.of("a"), 0L), reportedSilences);
    }

    @Test
    void aRestartedSeedReportsAllMembers() throws MessageFormatException {
        table.record(member("a", "b1", NodeStatus.READY), 1000, 1000);
        apply(response("s1", 1000));
        apply(response("s2", 1000));
        assertEquals(1, reportedSilences.size());
        assertEquals("s2", view.listId());
    }

    @Test
    void anOlderReportIsIgnored() {
        table.record(member("a", "b2", NodeStatus.READY), 1000, 1000);
        final long last = table.lastChange();
        assertFalse(table.record(member("a", "b1", NodeStatus.READY), 900, 1000).appeared());
        assertEquals(last, table.lastChange());
    }

    @Test
    void theSilenceOfAnEdgeIsNeverUnderestimated() throws MessageFormatException {
        table.record(member("e1", Role.EDGE, "b1", NodeStatus.READY), 1000, 1000);
        table.record(member("e2", Role.EDGE, "b1", NodeStatus.READY), 2000, 2000);
        for (long now = 2000; now < 3000; now += 7) {
            apply(response("s", now));
            assertTrue(reportedSilences.get(NodeId.of("e1")) >= now - 1000, "at " + now);
            assertTrue(reportedSilences.get(NodeId.of("e2")) >= now - 2000, "at " + now);
            assertTrue(reportedSilences.get(NodeId.of("e1")) <= Math.max(750, now - 1000 + 10), "at " + now);
        }
        apply(response("s", 3001));
        assertEquals(Map.of(NodeId.of("e2"), 1010L), reportedSilences);
    }

    @Test
    void aLostEdgeIsReportedOnce() throws MessageFormatException {
        table.record(member("e1", Role.EDGE, "b1", NodeStatus.READY), 1000, 1000);
        table.record(member("a", "b1", NodeStatus.READY), 3000, 3000);
        apply(response("s", 2000));
        assertEquals(List.of(NodeId.of("e1")), table.collectLost(3200));
        final HeartbeatResponse afterLoss = response("s", 3200);
        assertEquals(List.of(), afterLoss.edgeSilences());
        apply(afterLoss);
        assertEquals(Map.of(NodeId.of("a"), 200L), reportedSilences);
        assertEquals(List.of(), response("s", 3300).changes());
        table.record(member("e1", Role.EDGE, "b1", NodeStatus.READY), 3400, 3400);
        apply(response("s", 3400));
        assertEquals(2, reportedSilences.size());
    }

    @Test
    void anUnchangedListCostsOneBytePerShieldAndNonePerEdge() throws MessageFormatException {
        for (int i = 0; i < 430; i++) {
            table.record(member("n" + i, i < 75 ? Role.SHIELD : Role.EDGE, "b1", NodeStatus.READY), 1000 + i, 1430);
        }
        apply(response("s", 1430));
        final int size = MessageCodec.encode(response("s", 1430)).length;
        assertTrue(size < 75 + 120, size + " bytes");
        assertEquals(430, reportedSilences.size());
    }
}
