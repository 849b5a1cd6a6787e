package org.rowanvalve.data.origin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.control.config.Origin;

/**
 * The known load of each origin: this node's own requests there, other nodes' as they report them, the load that the
 * origin reported, its response time, and whether it has failed of late. Times are milliseconds of this node's clock.
 */
final class OriginLoad {
    private static final long REPORT_MAX_AGE_MS = 1500;
    private static final long UNREPORTED_MAX_AGE_MS = 400;
    private static final long FIRST_EJECTION_MS = 1000;
    private static final long LONGEST_EJECTION_MS = 8000;
    private static final double DEFAULT_MEAN_MS = 60;
    /** An origin that stops when its connection is closed has stopped by then. */
    private static final long LONGEST_ABANDONED_MS = 500;

    private final String location;
    private final Map<ItemId, Statistics> statistics = new HashMap<>();
    private final Map<NodeId, Report> reportsByNode = new HashMap<>();
    private final java.util.Set<String> hasEnded = new java.util.HashSet<>();

    private record Report(Map<String, Integer> counts, long receivedAt) {}

    private static final class Statistics {
        private int inFlight;
        private double meanMs;
        private int failures;
        private long ejectedUntil = Long.MIN_VALUE / 2;
        private int unreported;
        private long unreportedAt = Long.MIN_VALUE / 2;
        private final TreeMap<Long, Integer> sendTimes = new TreeMap<>();
        /** Until when requests that were broken off count as still at work there. */
        private final List<Long> abandonedUntil = new ArrayList<>();

        private void saw(final double tookMs) {
            meanMs = meanMs == 0 ? tookMs : meanMs * 0.8 + tookMs * 0.2;
        }

        /** A request without a response so far: it says nothing where others take longer. */
        private void sawAtLeast(final double tookMs) {
            if (tookMs > (meanMs == 0 ? DEFAULT_MEAN_MS : meanMs)) {
                saw(tookMs);
            }
        }

        private int abandoned(final long now) {
            abandonedUntil.removeIf(until -> until <= now);
            return abandonedUntil.size();
        }
    }

    OriginLoad(final String location) {
        this.location = location;
    }

    private Statistics statisticsOf(final ItemId id) {
        return statistics.computeIfAbsent(id, k -> new Statistics());
    }

    void onSend(final ItemId id, final long now) {
        final Statistics statistic = statisticsOf(id);
        statistic.inFlight++;
        statistic.sendTimes.merge(now, 1, Integer::sum);
    }

    /** {@code answered}: the origin answered, whatever it said. */
    void onEnd(
            final ItemId id,
            final long sentAt,
            final long now,
            final boolean answered,
            final OriginTransport.Load load) {
        final Statistics statistic = statisticsOf(id);
        statistic.inFlight--;
        statistic.sendTimes.merge(sentAt, -1, (a, b) -> a + b <= 0 ? null : a + b);
        if (answered) {
            statistic.failures = 0;
            statistic.ejectedUntil = Long.MIN_VALUE / 2;
            statistic.saw(Math.max(1, now - sentAt));
            if (load.slots() > 0) {
                statistic.abandonedUntil.clear();
                statistic.unreported = Math.max(0, load.running() + load.waiting() - inFlight(id, now, false));
                statistic.unreportedAt = now;
            }
        }
    }

    /** What was taken for a failure may have been none: the request was broken off before its response. */
    void withdrawFailure(final ItemId id, final long now) {
        final Statistics statistic = statisticsOf(id);
        if (statistic.failures > 0 && --statistic.failures == 0) {
            statistic.ejectedUntil = now;
        }
    }

    /**
     * A request that may be at work there was broken off. Its slot counts as taken until the origin tells its load, or for
     * as long as the work would have lasted, but no longer than it takes to stop: for how long at most, in ms.
     */
    long onAbandoned(final ItemId id, final long sentAt, final long now) {
        final Statistics statistic = statisticsOf(id);
        statistic.sawAtLeast(now - sentAt);
        final long leftMs = statistic.meanMs == 0
                ? LONGEST_ABANDONED_MS
                : Math.max(0, Math.min(LONGEST_ABANDONED_MS, sentAt + (long) statistic.meanMs - now));
        statistic.abandonedUntil.add(now + leftMs);
        return leftMs;
    }

    /** It failed or does not answer: ejected for a while, longer each time. */
    void onFailure(final ItemId id, final long now) {
        final Statistics statistic = statisticsOf(id);
        if (statistic.ejectedUntil <= now) {
            statistic.failures++;
            statistic.ejectedUntil =
                    now + Math.min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS << Math.min(4, statistic.failures - 1));
        }
    }

    /** Another process answers at its address: this start of it is over for good. */
    void onInstanceEnded(final ItemId id, final Origin origin) {
        hasEnded.add(id.name() + "|" + origin.instance());
    }

    boolean hasEnded(final ItemId id, final Origin origin) {
        return !hasEnded.isEmpty() && hasEnded.contains(id.name() + "|" + origin.instance());
    }

    /** After a failure it gets one request at a time until one is answered. */
    boolean isEjected(final ItemId id, final long now) {
        final Statistics statistic = statistics.get(id);
        return statistic != null && (statistic.ejectedUntil > now || statistic.failures > 0 && statistic.inFlight > 0);
    }

    void onReport(final NodeId from, final Map<String, Integer> counts, final long now) {
        reportsByNode.put(from, new Report(Map.copyOf(counts), now));
    }

    Map<String, Integer> ownCounts() {
        final Map<String, Integer> map = new TreeMap<>();
        statistics.forEach((id, statistic) -> {
            if (statistic.inFlight > 0) {
                map.put(id.name(), statistic.inFlight);
            }
        });
        return map;
    }

    int ownCount(final ItemId id) {
        final Statistics statistic = statistics.get(id);
        return statistic == null ? 0 : statistic.inFlight;
    }

    int inFlight(final ItemId id, final long now) {
        return inFlight(id, now, true);
    }

    private int inFlight(final ItemId id, final long now, final boolean ghosts) {
        final Statistics statistic = statisticsOf(id);
        int sum = statistic.inFlight
                + (ghosts && now - statistic.unreportedAt < UNREPORTED_MAX_AGE_MS ? statistic.unreported : 0)
                + (ghosts ? statistic.abandoned(now) : 0);
        for (final Report report : reportsByNode.values()) {
            sum += now - report.receivedAt() < REPORT_MAX_AGE_MS
                    ? report.counts().getOrDefault(id.name(), 0)
                    : 0;
        }
        return sum;
    }

    /** Response time there, by requests that were answered and by the oldest that is not. */
    double meanMs(final ItemId id, final long now) {
        final Statistics statistic = statistics.get(id);
        if (statistic == null) {
            return 0;
        }
        final double oldestMs = statistic.sendTimes.isEmpty() ? 0 : now - statistic.sendTimes.firstKey();
        return Math.max(statistic.meanMs, oldestMs);
    }

    /** Over origins of one service. */
    double meanMs(final Map<ItemId, Origin> origins, final long now) {
        double sum = 0;
        int count = 0;
        for (final ItemId id : origins.keySet()) {
            final Statistics statistic = statistics.get(id);
            if (statistic != null && statistic.meanMs > 0) {
                sum += statistic.meanMs;
                count++;
            }
        }
        return count == 0 ? DEFAULT_MEAN_MS : sum / count;
    }

    boolean hasRoom(final ItemId id, final Origin origin, final long now) {
        return origin.slots() <= 0 || inFlight(id, now) < origin.slots() + Math.max(1, origin.slots() / 8);
    }

    /** Whether any of them has a free slot and has not failed of late. */
    boolean anyAvailable(final Map<ItemId, Origin> origins, final long now) {
        return origins.entrySet().stream()
                .anyMatch(entry -> hasRoom(entry.getKey(), entry.getValue(), now) && !isEjected(entry.getKey(), now));
    }

    double distanceMs(final Origin origin) {
        if (origin.location().isEmpty() || location.equals(origin.location())) {
            return 0;
        }
        final int slash = location.lastIndexOf('/');
        return slash >= 0 && origin.location().startsWith(location.substring(0, slash + 1)) ? 3 : 90;
    }

    /** Expected time until a response; origins that failed of late come after all others. */
    private double expectedMs(
            final ItemId id, final Origin origin, final long warmUpMs, final double mean, final long now) {
        final double oneMs = meanMs(id, now) > 0 ? meanMs(id, now) : mean;
        final int busy = inFlight(id, now);
        final double waitMs = origin.slots() > 0
                ? Math.max(0, busy + 1 - origin.slots()) * oneMs / origin.slots()
                : busy + origin.load();
        final double nearMs = origin.slots() > 0 ? busy * oneMs / origin.slots() * 0.25 : 0;
        return (isEjected(id, now) ? 1e9 : 0)
                + (origin.slots() > 0 ? oneMs * (warmUpMs > 0 ? 2 : 1) + nearMs + distanceMs(origin) : 0)
                + waitMs;
    }

    /** The best first. {@code ages}: how long ago each was learned of. */
    List<ItemId> preferred(final Map<ItemId, Origin> origins, final Map<ItemId, Long> ages, final long now) {
        final double mean = meanMs(origins, now);
        final Map<ItemId, Double> costs = new HashMap<>();
        origins.forEach((id, origin) ->
                costs.put(id, expectedMs(id, origin, origin.warmUpMs() - ages.getOrDefault(id, 0L), mean, now)));
        return origins.keySet().stream()
                .sorted(Comparator.comparingDouble((ItemId id) -> costs.get(id))
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    void retain(final java.util.Set<ItemId> known) {
        statistics.entrySet().removeIf(entry -> entry.getValue().inFlight == 0 && !known.contains(entry.getKey()));
    }
}
