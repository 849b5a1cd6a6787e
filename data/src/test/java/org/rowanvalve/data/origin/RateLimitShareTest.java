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

/** How nodes divide a service's rate limit among themselves and among kinds of requests. */
class RateLimitShareTest {
    private static final double RATE_LIMIT = 200;
    private static final int SECONDS = 10;
    private static final int SHIELDS = 4;
    private static final int EDGES = 20;
    private static final ItemId ORIGIN = new ItemId(ItemKind.ORIGIN, "o1");
    private static final Service SERVICE = new Service(ServiceKind.OPEN, 0, 1000, 5000, RATE_LIMIT, 0, "");

    private static RateLimitShare share(final Role role, final double weight) {
        final Member self = new Member(NodeId.of("n1"), role, "c", "h", 1, "b", NodeStatus.READY, "1");
        return new RateLimitShare(NodeSettings.builderFor(self).build(), () -> EDGES, () -> SHIELDS, service -> weight);
    }

    private static OriginRequest originRequest(final boolean passedThrough, final int priority, final long now) {
        final OriginTransport.OutboundRequest request =
                new OriginTransport.OutboundRequest("s", "GET", "/", "id", null, null, null, 0);
        return new OriginRequest(
                passedThrough ? OriginRequest.NO_SHARD : 3, request, false, now + 4000, priority, 2, false);
    }

    /** Returns 1 if such a request, made now, is sent before the end of the test period, and 0 otherwise. */
    private static int sent(
            final RateLimitShare share, final boolean passedThrough, final int priority, final long now) {
        final OptionalLong wait = share.reserve(SERVICE, ORIGIN, originRequest(passedThrough, priority, now), now);
        return wait.isPresent() && now + wait.getAsLong() < SECONDS * 1000L ? 1 : 0;
    }

    /** Returns how many requests are sent within the test period if one arrives each millisecond. */
    private static long sent(final RateLimitShare share, final boolean passedThrough, final int priority) {
        long sent = 0;
        for (long now = 0; now < SECONDS * 1000L; now++) {
            sent += sent(share, passedThrough, priority, now);
        }
        return sent;
    }

    @Test
    void shieldsUseMostOfTheLimitWhileAllEdgesAreConnected() {
        long sum = 0;
        for (int i = 0; i < SHIELDS; i++) {
            sum += sent(share(Role.SHIELD, 1.0 / SHIELDS), false, 0);
        }
        assertTrue(sum > 0.85 * RATE_LIMIT * SECONDS, "of a limit of " + RATE_LIMIT * SECONDS + " were sent " + sum);
    }

    @Test
    void allNodesTogetherStayWithinTheLimit() {
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
        assertTrue(sum < 1.02 * RATE_LIMIT * SECONDS, "of a limit of " + RATE_LIMIT * SECONDS + " were sent " + sum);
    }

    /** While no lease is held, a shield passes reads through within the part of the limit reserved for that. */
    @Test
    void shieldWithoutLeasesPassesRequestsThroughWithinItsPart() {
        final long sent = sent(share(Role.SHIELD, 0), true, 0);
        assertEquals(0.1 / SHIELDS * RATE_LIMIT * SECONDS, sent, 6);
    }

    @Test
    void urgentRequestsAreSentWhileOthersAreRejected() {
        final RateLimitShare share = share(Role.SHIELD, 1.0 / SHIELDS);
        final List<Long> waits = new ArrayList<>();
        int urgent = 0;
        int rest = 0;
        for (long now = 0; now < SECONDS * 1000L; now += 10) {
            for (int i = 0; i < 5; i++) {
                final OptionalLong wait = share.reserve(SERVICE, ORIGIN, originRequest(false, 2, now), now);
                rest += wait.isPresent() ? 1 : 0;
                wait.ifPresent(waits::add);
            }
            if (now % 50 == 0) {
                urgent += share.reserve(SERVICE, ORIGIN, originRequest(false, 1, now), now)
                                .isPresent()
                        ? 1
                        : 0;
            }
        }
        assertEquals(
                SECONDS * 20,
                urgent,
                2,
                "all urgent requests are sent, since they are below the limit; others sent: " + rest);
        assertTrue(
                rest > 0.3 * RATE_LIMIT / SHIELDS * SECONDS, "the other requests get the rest of the limit: " + rest);
        assertTrue(waits.stream().allMatch(waitMs -> waitMs <= 400), "no request waits until it is too late");
    }
}
