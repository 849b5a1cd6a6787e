package org.rowanvalve.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.NodeId;

/** One store only after the other's stated silence. */
class StoresTest {
    private static final NodeId A = NodeId.of("st1");
    private static final NodeId B = NodeId.of("st2");
    private final long[] now = {10_000};
    private final Loop loop = new Loop() {
        @Override
        public long now() {
            return now[0];
        }

        @Override
        public void after(final long ms, final Runnable job) {
            throw new IllegalStateException();
        }
    };
    private final StoreHealth stores =
            new StoreHealth(new Quorum(List.of(A, B, NodeId.of("sh1")), Set.of(A, B)), loop, new Journal(loop, 10));

    @Test
    void bothWhileBothAreHeardFrom() {
        assertFalse(stores.enough(Set.of(A), 399));
        assertTrue(stores.enough(Set.of(A, B), 0));
        assertTrue(stores.enough(Set.of(A), 400));
        assertEquals(Set.of(B), stores.silent());
        assertTrue(stores.enough(Set.of(A), 0), "no answer waits twice");
        stores.heard(B);
        assertFalse(stores.enough(Set.of(A), 0));
    }

    @Test
    void missedBeatsCountUnlessSomethingElseWasHeardSince() {
        stores.missed(B, 9500);
        assertTrue(stores.enough(Set.of(A), 0), "silent since the beat was sent");
        now[0] = 9700;
        stores.heard(B);
        now[0] = 10_000;
        stores.missed(B, 9500);
        assertFalse(stores.enough(Set.of(A), 0), "it was heard after that beat was sent");
        stores.failing(B);
        assertTrue(stores.enough(Set.of(A), 0), "its own word that its disk is behind");
    }
}
