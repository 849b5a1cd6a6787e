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
    private static final long LOST = 2000;
    private final MemberTable list = new MemberTable(LOST);
    private final SeedMemberView view = new SeedMemberView();
    private final Map<NodeId, Long> heard = new HashMap<>();
    private final Map<NodeId, Member> known = new HashMap<>();

    private static Member member(final String id, final String boot, final NodeStatus newStatus) {
        return member(id, Role.SHIELD, boot, newStatus);
    }

    private static Member member(final String id, final Role role, final String boot, final NodeStatus newStatus) {
        return new Member(NodeId.of(id), role, "zone", "10.0.0.1", 7000, boot, newStatus, "0.1.0");
    }

    private HeartbeatResponse answer(final String name, final long now) {
        final long since = view.listId().equals(name) ? view.lastChange() : 0;
        return new HeartbeatResponse(
                null,
                now,
                name,
                list.lastChange(),
                list.changesSince(since, now),
                list.coreSilences(now),
                list.edgeSilences(now));
    }

    private void told(final HeartbeatResponse b) throws MessageFormatException {
        heard.clear();
        view.apply(MessageCodec.decode(MessageCodec.encode(b), HeartbeatResponse.class), (member, s) -> {
            heard.put(member.id(), s);
            known.put(member.id(), member);
        });
    }

    @Test
    void membersAreToldOnceAndTheirSilenceEachTime() throws MessageFormatException {
        list.record(member("a", "b1", NodeStatus.READY), 1000, 1000);
        list.record(member("b", "b1", NodeStatus.READY), 1200, 1200);
        final HeartbeatResponse first = answer("s", 1303);
        assertEquals(2, first.changes().size());
        told(first);
        assertEquals(Map.of(NodeId.of("a"), 310L, NodeId.of("b"), 110L), heard);
        list.record(member("a", "b1", NodeStatus.READY), 1500, 1500);
        final HeartbeatResponse next = answer("s", 1600);
        assertEquals(List.of(), next.changes());
        told(next);
        assertEquals(Map.of(NodeId.of("a"), 100L, NodeId.of("b"), 400L), heard);
    }

    @Test
    void aChangeIsToldInTheNextAnswer() throws MessageFormatException {
        list.record(member("a", "b1", NodeStatus.READY), 1000, 1000);
        told(answer("s", 1000));
        list.record(member("a", "b2", NodeStatus.DRAINING), 1100, 1100);
        told(answer("s", 1100));
        assertEquals("b2", known.get(NodeId.of("a")).incarnation());
        assertEquals(NodeStatus.DRAINING, known.get(NodeId.of("a")).status());
    }

    @Test
    void anAnswerThatWasLostIsMadeUpForByTheNext() throws MessageFormatException {
        list.record(member("a", "b1", NodeStatus.READY), 1000, 1000);
        answer("s", 1000);
        list.record(member("b", "b1", NodeStatus.READY), 1100, 1100);
        told(answer("s", 1200));
        assertEquals(2, heard.size());
    }

    @Test
    void aLostMemberIsNotToldAndIsToldAgainWhenItIsBack() throws MessageFormatException {
        list.record(member("a", "b1", NodeStatus.READY), 1000, 1000);
        told(answer("s", 3001));
        assertTrue(heard.isEmpty());
        list.record(member("a", "b1", NodeStatus.READY), 3100, 3100);
        told(answer("s", 3100));
        assertEquals(Map.of(NodeId.of("a"), 0L), heard);
    }

    @Test
    void aSeedThatBeganAnewTellsAll() throws MessageFormatException {
        list.record(member("a", "b1", NodeStatus.READY), 1000, 1000);
        told(answer("s1", 1000));
        told(answer("s2", 1000));
        assertEquals(1, heard.size());
        assertEquals("s2", view.listId());
    }

    @Test
    void anOlderWordChangesNothing() {
        list.record(member("a", "b2", NodeStatus.READY), 1000, 1000);
        final long last = list.lastChange();
        assertFalse(list.record(member("a", "b1", NodeStatus.READY), 900, 1000).appeared());
        assertEquals(last, list.lastChange());
    }

    @Test
    void anEdgeIsNeverTakenAsNewerThanItIs() throws MessageFormatException {
        list.record(member("e1", Role.EDGE, "b1", NodeStatus.READY), 1000, 1000);
        list.record(member("e2", Role.EDGE, "b1", NodeStatus.READY), 2000, 2000);
        for (long now = 2000; now < 3000; now += 7) {
            told(answer("s", now));
            assertTrue(heard.get(NodeId.of("e1")) >= now - 1000, "at " + now);
            assertTrue(heard.get(NodeId.of("e2")) >= now - 2000, "at " + now);
            assertTrue(heard.get(NodeId.of("e1")) <= Math.max(750, now - 1000 + 10), "at " + now);
        }
        told(answer("s", 3001));
        assertEquals(Map.of(NodeId.of("e2"), 1010L), heard);
    }

    @Test
    void anEdgeThatIsGoneIsToldOnce() throws MessageFormatException {
        list.record(member("e1", Role.EDGE, "b1", NodeStatus.READY), 1000, 1000);
        list.record(member("a", "b1", NodeStatus.READY), 3000, 3000);
        told(answer("s", 2000));
        assertEquals(List.of(NodeId.of("e1")), list.collectLost(3200));
        final HeartbeatResponse b = answer("s", 3200);
        assertEquals(List.of(), b.edgeSilences());
        told(b);
        assertEquals(Map.of(NodeId.of("a"), 200L), heard);
        assertEquals(List.of(), answer("s", 3300).changes());
        list.record(member("e1", Role.EDGE, "b1", NodeStatus.READY), 3400, 3400);
        told(answer("s", 3400));
        assertEquals(2, heard.size());
    }

    @Test
    void atRestAnAnswerGrowsByAByteAShieldAndByNothingAnEdge() throws MessageFormatException {
        for (int i = 0; i < 430; i++) {
            list.record(member("n" + i, i < 75 ? Role.SHIELD : Role.EDGE, "b1", NodeStatus.READY), 1000 + i, 1430);
        }
        told(answer("s", 1430));
        final int size = MessageCodec.encode(answer("s", 1430)).length;
        assertTrue(size < 75 + 120, size + " bytes");
        assertEquals(430, heard.size());
    }
}
