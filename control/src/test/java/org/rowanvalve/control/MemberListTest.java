package org.rowanvalve.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.Condition;
import org.rowanvalve.common.Member;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Role;
import org.rowanvalve.common.Wire;
import org.rowanvalve.common.WireTrouble;

class MemberListTest {
    private static final long LOST = 2000;
    private final MemberList list = new MemberList(LOST);
    private final SeedView view = new SeedView();
    private final Map<NodeId, Long> heard = new HashMap<>();
    private final Map<NodeId, Member> known = new HashMap<>();

    private static Member member(final String id, final String boot, final Condition c) {
        return member(id, Role.SHIELD, boot, c);
    }

    private static Member member(final String id, final Role role, final String boot, final Condition c) {
        return new Member(NodeId.of(id), role, "zone", "10.0.0.1", 7000, boot, c, "0.1.0");
    }

    private Msg.Beaten answer(final String name, final long now) {
        final long since = view.list().equals(name) ? view.last() : 0;
        return new Msg.Beaten(null, now, name, list.last(), list.since(since, now), list.silences(now), list.late(now));
    }

    private void told(final Msg.Beaten b) throws WireTrouble {
        heard.clear();
        view.take(Wire.unpack(Wire.pack(b), Msg.Beaten.class), (m, s) -> {
            heard.put(m.id(), s);
            known.put(m.id(), m);
        });
    }

    @Test
    void membersAreToldOnceAndTheirSilenceEachTime() throws WireTrouble {
        list.note(member("a", "b1", Condition.READY), 1000, 1000);
        list.note(member("b", "b1", Condition.READY), 1200, 1200);
        final Msg.Beaten first = answer("s", 1303);
        assertEquals(2, first.changed().size());
        told(first);
        assertEquals(Map.of(NodeId.of("a"), 310L, NodeId.of("b"), 110L), heard);
        list.note(member("a", "b1", Condition.READY), 1500, 1500);
        final Msg.Beaten next = answer("s", 1600);
        assertEquals(List.of(), next.changed());
        told(next);
        assertEquals(Map.of(NodeId.of("a"), 100L, NodeId.of("b"), 400L), heard);
    }

    @Test
    void aChangeIsToldInTheNextAnswer() throws WireTrouble {
        list.note(member("a", "b1", Condition.READY), 1000, 1000);
        told(answer("s", 1000));
        list.note(member("a", "b2", Condition.LEAVING), 1100, 1100);
        told(answer("s", 1100));
        assertEquals("b2", known.get(NodeId.of("a")).boot());
        assertEquals(Condition.LEAVING, known.get(NodeId.of("a")).condition());
    }

    @Test
    void anAnswerThatWasLostIsMadeUpForByTheNext() throws WireTrouble {
        list.note(member("a", "b1", Condition.READY), 1000, 1000);
        answer("s", 1000);
        list.note(member("b", "b1", Condition.READY), 1100, 1100);
        told(answer("s", 1200));
        assertEquals(2, heard.size());
    }

    @Test
    void aLostMemberIsNotToldAndIsToldAgainWhenItIsBack() throws WireTrouble {
        list.note(member("a", "b1", Condition.READY), 1000, 1000);
        told(answer("s", 3001));
        assertTrue(heard.isEmpty());
        list.note(member("a", "b1", Condition.READY), 3100, 3100);
        told(answer("s", 3100));
        assertEquals(Map.of(NodeId.of("a"), 0L), heard);
    }

    @Test
    void aSeedThatBeganAnewTellsAll() throws WireTrouble {
        list.note(member("a", "b1", Condition.READY), 1000, 1000);
        told(answer("s1", 1000));
        told(answer("s2", 1000));
        assertEquals(1, heard.size());
        assertEquals("s2", view.list());
    }

    @Test
    void anOlderWordChangesNothing() {
        list.note(member("a", "b2", Condition.READY), 1000, 1000);
        final long last = list.last();
        assertFalse(list.note(member("a", "b1", Condition.READY), 900, 1000).seen());
        assertEquals(last, list.last());
    }

    @Test
    void anEdgeIsNeverTakenAsNewerThanItIs() throws WireTrouble {
        list.note(member("e1", Role.EDGE, "b1", Condition.READY), 1000, 1000);
        list.note(member("e2", Role.EDGE, "b1", Condition.READY), 2000, 2000);
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
    void anEdgeThatIsGoneIsToldOnce() throws WireTrouble {
        list.note(member("e1", Role.EDGE, "b1", Condition.READY), 1000, 1000);
        list.note(member("a", "b1", Condition.READY), 3000, 3000);
        told(answer("s", 2000));
        assertEquals(List.of(NodeId.of("e1")), list.gone(3200));
        final Msg.Beaten b = answer("s", 3200);
        assertEquals(List.of(), b.late());
        told(b);
        assertEquals(Map.of(NodeId.of("a"), 200L), heard);
        assertEquals(List.of(), answer("s", 3300).changed());
        list.note(member("e1", Role.EDGE, "b1", Condition.READY), 3400, 3400);
        told(answer("s", 3400));
        assertEquals(2, heard.size());
    }

    @Test
    void atRestAnAnswerGrowsByAByteAShieldAndByNothingAnEdge() throws WireTrouble {
        for (int i = 0; i < 430; i++) {
            list.note(member("n" + i, i < 75 ? Role.SHIELD : Role.EDGE, "b1", Condition.READY), 1000 + i, 1430);
        }
        told(answer("s", 1430));
        final int size = Wire.pack(answer("s", 1430)).length;
        assertTrue(size < 75 + 120, size + " bytes");
        assertEquals(430, heard.size());
    }
}
