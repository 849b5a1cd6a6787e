package org.rowanvalve.data.origin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.Member;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.NodeStatus;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.control.config.Service;
import org.rowanvalve.control.config.ServiceKind;
import org.rowanvalve.data.settings.NodeSettings;

/** How much of a service's ceiling the nodes spend together, and on whose behalf. */
class RateLimitShareTest {
    private static final double CEILING = 200;
    private static final int SECONDS = 10;
    private static final int SHIELDS = 4;
    private static final int EDGES = 20;
    private static final ItemId ORIGIN = new ItemId(ItemKind.ORIGIN, "o1");
    private static final Service SERVICE = new Service(ServiceKind.OPEN, 0, 1000, 5000, CEILING, 0, "");

    private static RateLimitShare share(final Role role, final double weight) {
        final Member self = new Member(NodeId.of("n1"), role, "c", "h", 1, "b", NodeStatus.READY, "1");
        return new RateLimitShare(NodeSettings.builderFor(self).build(), () -> EDGES, () -> SHIELDS, service -> weight);
    }

    private static OriginRequest order(final boolean passed, final int rank, final long now) {
        final OriginTransport.OutboundRequest request =
                new OriginTransport.OutboundRequest("s", "GET", "/", "id", null, null, null, 0);
        return new OriginRequest(passed ? OriginRequest.NO_SHARD : 3, request, false, now + 4000, rank, 2, false);
    }

    /** 1 where such a request of now leaves before the end, else 0. */
    private static int sent(final RateLimitShare share, final boolean passed, final int rank, final long now) {
        final OptionalLong wait = share.reserve(SERVICE, ORIGIN, order(passed, rank, now), now);
        return wait.isPresent() && now + wait.getAsLong() < SECONDS * 1000L ? 1 : 0;
    }

    /** How many of the requests that come each millisecond leave before the end. */
    private static long sent(final RateLimitShare share, final boolean passed, final int rank) {
        long sent = 0;
        for (long now = 0; now < SECONDS * 1000L; now++) {
            sent += sent(share, passed, rank, now);
        }
        return sent;
    }

    @Test
    void shieldsSpendMostOfTheCeilingWhereNoEdgeIsAlone() {
        long sum = 0;
        for (int i = 0; i < SHIELDS; i++) {
            sum += sent(share(Role.SHIELD, 1.0 / SHIELDS), false, 0);
        }
        assertTrue(sum > 0.85 * CEILING * SECONDS, "of " + CEILING * SECONDS + " were sent " + sum);
    }

    @Test
    void allNodesTogetherStayBelowTheCeilingWhateverTheySend() {
        long sum = 0;
        for (int i = 0; i < SHIELDS; i++) {
            final RateLimitShare share = share(Role.SHIELD, 1.0 / SHIELDS);
            for (long now = 0; now < SECONDS * 1000L; now++) {
                sum += sent(share, false, 0, now) + sent(share, true, 0, now);
            }
        }
        for (int i = 0; i < EDGES; i++) {
            sum += sent(share(Role.EDGE, 0), true, 0);
        }
        assertTrue(sum < 1.02 * CEILING * SECONDS, "of " + CEILING * SECONDS + " were sent " + sum);
    }

    /** While nobody holds the shards, a shield passes reads through within its part for that. */
    @Test
    void aShieldWithoutRightsPassesALittleThrough() {
        final long sent = sent(share(Role.SHIELD, 0), true, 0);
        assertEquals(0.1 / SHIELDS * CEILING * SECONDS, sent, 6);
    }

    @Test
    void whatIsUrgentFindsAPlaceWhereTheRestIsTurnedAway() {
        final RateLimitShare share = share(Role.SHIELD, 1.0 / SHIELDS);
        final List<Long> waits = new ArrayList<>();
        int urgent = 0;
        int rest = 0;
        for (long now = 0; now < SECONDS * 1000L; now += 10) {
            for (int i = 0; i < 5; i++) {
                final OptionalLong wait = share.reserve(SERVICE, ORIGIN, order(false, 2, now), now);
                rest += wait.isPresent() ? 1 : 0;
                wait.ifPresent(waits::add);
            }
            if (now % 50 == 0) {
                urgent += share.reserve(SERVICE, ORIGIN, order(false, 1, now), now)
                                .isPresent()
                        ? 1
                        : 0;
            }
        }
        assertEquals(SECONDS * 20, urgent, 2, "less than the ceiling, so all of it; of the others went " + rest);
        assertTrue(rest > 0.3 * CEILING / SHIELDS * SECONDS, "the others get what is left: " + rest);
        assertTrue(waits.stream().allMatch(w -> w <= 400), "they do not wait until they are late");
    }
}
