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
 * The known load of each origin: the requests in flight from this node, those that other nodes report, the load that
 * the origin itself reported, its response time, and whether it failed recently. Times are in ms on this node's clock.
 */
final class OriginLoad {
    private static final long REPORT_MAX_AGE_MS = 1500;
    private static final long UNREPORTED_MAX_AGE_MS = 400;
    private static final long FIRST_EJECTION_MS = 1000;
    private static final long LONGEST_EJECTION_MS = 8000;
    private static final double DEFAULT_MEAN_MS = 60;
    /** Within this time, an origin that reacts to a closed connection has stopped the work. */
    private static final long LONGEST_ABANDONED_MS = 500;

    /** Weights of the old mean and of a new sample in the moving average of response times. */
    private static final double MEAN_WEIGHT = 0.8;

    private static final double SAMPLE_WEIGHT = 0.2;
    /** Added to the cost of an ejected origin, so that it sorts after all others. */
    private static final double EJECTED_COST_MS = 1e9;
    /** The factor by which the expected response time of a cold origin is raised. */
    private static final double COLD_FACTOR = 2;
    /** The part of the utilisation-weighted response time that is added to the cost while slots are free. */
    private static final double UTILISATION_WEIGHT = 0.25;

    private static final double SAME_REGION_MS = 3;
    private static final double OTHER_REGION_MS = 90;

    private final String location;
    private final Map<ItemId, Statistics> statistics = new HashMap<>();
    private final Map<NodeId, Report> reportsByNode = new HashMap<>();
    private final java.util.Set<String> endedInstances = new java.util.HashSet<>();

    private record Report(Map<String, Integer> counts, long receivedAt) {}

    private static final class Statistics {
        private int inFlight;
        private double meanMs;
        private int failures;
        private long ejectedUntil = Long.MIN_VALUE / 2;
        private int unreported;
        private long unreportedAt = Long.MIN_VALUE / 2;
        private final TreeMap<Long, Integer> sendTimes = new TreeMap<>();
        /** For each aborted request, the time until which it counts as still running at the origin. */
        private final List<Long> abandonedUntil = new ArrayList<>();

        private void recordResponseTime(final double tookMs) {
            meanMs = meanMs == 0 ? tookMs : meanMs * MEAN_WEIGHT + tookMs * SAMPLE_WEIGHT;
        }

        /**
         * Records the time that a request without a response has taken so far. This time is only a lower bound of the
         * response time, so it is ignored unless it exceeds the mean.
         */
        private void recordElapsedTime(final double tookMs) {
            if (tookMs > (meanMs == 0 ? DEFAULT_MEAN_MS : meanMs)) {
                recordResponseTime(tookMs);
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

    /**
     * Records the end of an exchange.
     *
     * @param answered whether the origin sent a response, whatever its status
     */
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
            statistic.recordResponseTime(Math.max(1, now - sentAt));
            if (load.slots() > 0) {
                statistic.abandonedUntil.clear();
                statistic.unreported = Math.max(0, load.running() + load.waiting() - inFlight(id, now, false));
                statistic.unreportedAt = now;
            }
        }
    }

    /** Reverts a recorded failure that may have been none, because the request was aborted before its response. */
    void withdrawFailure(final ItemId id, final long now) {
        final Statistics statistic = statisticsOf(id);
        if (statistic.failures > 0 && --statistic.failures == 0) {
            statistic.ejectedUntil = now;
        }
    }

    /**
     * Records that a request was aborted which the origin may still be executing. Its slot counts as taken until the
     * origin reports its load, or for as long as the work would have lasted, but no longer than an origin needs to
     * stop.
     *
     * @return the longest time for which the slot counts as taken, in ms
     */
    long onAbandoned(final ItemId id, final long sentAt, final long now) {
        final Statistics statistic = statisticsOf(id);
        statistic.recordElapsedTime(now - sentAt);
        final long leftMs = statistic.meanMs == 0
                ? LONGEST_ABANDONED_MS
                : Math.max(0, Math.min(LONGEST_ABANDONED_MS, sentAt + (long) statistic.meanMs - now));
        statistic.abandonedUntil.add(now + leftMs);
        return leftMs;
    }

    /** Records that an origin failed or does not respond. It is ejected for a time that grows with each failure. */
    void onFailure(final ItemId id, final long now) {
        final Statistics statistic = statisticsOf(id);
        if (statistic.ejectedUntil <= now) {
            statistic.failures++;
            statistic.ejectedUntil =
                    now + Math.min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS << Math.min(4, statistic.failures - 1));
        }
    }

    /** Records that another process responds at the origin's address, so that this instance has ended for good. */
    void onInstanceEnded(final ItemId id, final Origin origin) {
        endedInstances.add(id.name() + "|" + origin.instance());
    }

    boolean hasEnded(final ItemId id, final Origin origin) {
        return !endedInstances.isEmpty() && endedInstances.contains(id.name() + "|" + origin.instance());
    }

    /** Returns whether an origin is ejected. After a failure it gets one request at a time until it answers one. */
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

    private int inFlight(final ItemId id, final long now, final boolean includeEstimates) {
        final Statistics statistic = statisticsOf(id);
        int sum = statistic.inFlight
                + (includeEstimates && now - statistic.unreportedAt < UNREPORTED_MAX_AGE_MS ? statistic.unreported : 0)
                + (includeEstimates ? statistic.abandoned(now) : 0);
        for (final Report report : reportsByNode.values()) {
            sum += now - report.receivedAt() < REPORT_MAX_AGE_MS
                    ? report.counts().getOrDefault(id.name(), 0)
                    : 0;
        }
        return sum;
    }

    /** Returns the larger of the mean response time and the age of the oldest request without a response. */
    double meanMs(final ItemId id, final long now) {
        final Statistics statistic = statistics.get(id);
        if (statistic == null) {
            return 0;
        }
        final double oldestMs = statistic.sendTimes.isEmpty() ? 0 : now - statistic.sendTimes.firstKey();
        return Math.max(statistic.meanMs, oldestMs);
    }

    /** Returns the mean response time over the origins of one service. */
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

    boolean hasFreeSlot(final ItemId id, final Origin origin, final long now) {
        return origin.slots() <= 0 || inFlight(id, now) < origin.slots() + Math.max(1, origin.slots() / 8);
    }

    /** Returns whether any of the origins has a free slot and is not ejected. */
    boolean anyAvailable(final Map<ItemId, Origin> origins, final long now) {
        return origins.entrySet().stream()
                .anyMatch(
                        entry -> hasFreeSlot(entry.getKey(), entry.getValue(), now) && !isEjected(entry.getKey(), now));
    }

    double distanceMs(final Origin origin) {
        if (origin.location().isEmpty() || location.equals(origin.location())) {
            return 0;
        }
        final int slash = location.lastIndexOf('/');
        return slash >= 0 && origin.location().startsWith(location.substring(0, slash + 1))
                ? SAME_REGION_MS
                : OTHER_REGION_MS;
    }

    /** Returns the expected time until a response. Origins that failed recently sort after all others. */
    private double expectedMs(
            final ItemId id, final Origin origin, final long warmUpMs, final double mean, final long now) {
        final double responseMs = meanMs(id, now) > 0 ? meanMs(id, now) : mean;
        final int busy = inFlight(id, now);
        final double waitMs = origin.slots() > 0
                ? Math.max(0, busy + 1 - origin.slots()) * responseMs / origin.slots()
                : busy + origin.load();
        final double utilisationMs = origin.slots() > 0 ? busy * responseMs / origin.slots() * UTILISATION_WEIGHT : 0;
        return (isEjected(id, now) ? EJECTED_COST_MS : 0)
                + (origin.slots() > 0
                        ? responseMs * (warmUpMs > 0 ? COLD_FACTOR : 1) + utilisationMs + distanceMs(origin)
                        : 0)
                + waitMs;
    }

    /**
     * Sorts origins by preference, the best first.
     *
     * @param ages the time since this node learned of each origin, in ms
     */
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
