package org.rowanvalve.control.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.rowanvalve.common.message.LeaseRenewRequest;
import org.rowanvalve.common.model.NodeId;

/**
 * Each shard's part of a content store's rate follows what its holder wants to send. Holders whose part falls are lowered
 * first; only when every holder has said that it goes by the lowered parts, and a moment more has passed, are the others
 * raised. So at any time, whichever of the two plans a holder goes by, all of them together send no more than the rate.
 */
public final class RateShareBalancer {
    private static final long ROUND_MS = 4000;
    /** The same while a service is wanted whose parts have never been set to its demand. */
    private static final long FIRST_ROUND_MS = 1000;

    private static final long SETTLE_MS = 1000;
    private static final double EVEN_PART = 0.25;
    private static final double MIN_CHANGE = 0.08;
    private final Map<String, Map<Integer, Double>> demand = new TreeMap<>();
    private final Map<NodeId, Long> confirmedSerials = new HashMap<>();
    private Map<String, List<Integer>> targetWeights = Map.of();
    /** Who held the shards when parts were lowered: with others the goal no longer fits. */
    private List<String> ownersWhenLowered = List.of();

    private long lastRoundAt;
    private long confirmedSince = -1;

    /** Forgets all demand, as at the start of a term. */
    public void clear(final long now) {
        demand.clear();
        confirmedSerials.clear();
        targetWeights = Map.of();
        lastRoundAt = now;
        confirmedSince = -1;
    }

    /** Records the demand that a holder reports with its renewal. */
    public void onRenewal(final NodeId from, final LeaseRenewRequest request) {
        confirmedSerials.put(from, request.weightsSerial());
        if (request.demand() != null) {
            request.demand()
                    .forEach(w -> demand.computeIfAbsent(w.service(), k -> new HashMap<>())
                            .merge(w.shard(), (double) w.count(), Double::sum));
        }
    }

    /** The plan with other weights, where it is time for them. */
    public Optional<PlacementPlan> nextPlan(final PlacementPlan plan, final int shards, final long now) {
        if (!targetWeights.isEmpty()) {
            return raiseWeights(plan, now);
        }
        final boolean known = plan.weights().keySet().containsAll(demand.keySet());
        if (now - lastRoundAt < (known ? ROUND_MS : FIRST_ROUND_MS)) {
            return Optional.empty();
        }
        lastRoundAt = now;
        final Map<String, List<Integer>> wanted = new TreeMap<>(plan.weights());
        demand.forEach((service, demandByShard) -> {
            final double sum = demandByShard.values().stream()
                    .mapToDouble(Double::doubleValue)
                    .sum();
            if (sum >= 20) {
                final List<Integer> weights = new ArrayList<>();
                for (int shard = 0; shard < shards; shard++) {
                    weights.add((int) (PlacementPlan.WEIGHT_SCALE
                            * (EVEN_PART / shards + (1 - EVEN_PART) * demandByShard.getOrDefault(shard, 0.0) / sum)));
                }
                if (isSignificant(plan, service, weights)) {
                    wanted.put(service, weights);
                }
            }
        });
        demand.values().forEach(demandByShard -> demandByShard.replaceAll((shard, count) -> count / 2));
        if (wanted.equals(plan.weights())) {
            return Optional.empty();
        }
        targetWeights = wanted;
        confirmedSince = -1;
        final Map<String, List<Integer>> loweredWeights = new TreeMap<>();
        wanted.forEach((service, weights) -> loweredWeights.put(service, loweredWeights(plan, service, weights)));
        ownersWhenLowered = owners(plan);
        return Optional.of(plan.withWeights(loweredWeights));
    }

    /** The wanted parts of shards, scaled down for holders that gain to what they have by the plan. */
    private static List<Integer> loweredWeights(
            final PlacementPlan plan, final String service, final List<Integer> weights) {
        final Map<String, Integer> before = new HashMap<>();
        final Map<String, Integer> after = new HashMap<>();
        for (int shard = 0; shard < weights.size(); shard++) {
            before.merge(plan.assignments().get(shard).owner(), plan.weight(service, shard), Integer::sum);
            after.merge(plan.assignments().get(shard).owner(), weights.get(shard), Integer::sum);
        }
        final List<Integer> lowered = new ArrayList<>();
        for (int shard = 0; shard < weights.size(); shard++) {
            final String owner = plan.assignments().get(shard).owner();
            final boolean gains = after.get(owner) > before.get(owner);
            lowered.add(
                    gains
                            ? (int) ((long) weights.get(shard) * before.get(owner) / after.get(owner))
                            : weights.get(shard));
        }
        return lowered;
    }

    private static List<String> owners(final PlacementPlan plan) {
        return plan.assignments().stream().map(PlacementPlan.Assignment::owner).toList();
    }

    /** Whether some holder's part would change by enough. */
    private static boolean isSignificant(final PlacementPlan plan, final String service, final List<Integer> weights) {
        final Map<String, Integer> change = new HashMap<>();
        for (int shard = 0; shard < weights.size(); shard++) {
            change.merge(
                    plan.assignments().get(shard).owner(),
                    weights.get(shard) - plan.weight(service, shard),
                    Integer::sum);
        }
        return change.values().stream().anyMatch(c -> Math.abs(c) > MIN_CHANGE * PlacementPlan.WEIGHT_SCALE);
    }

    private Optional<PlacementPlan> raiseWeights(final PlacementPlan plan, final long now) {
        if (!owners(plan).equals(ownersWhenLowered)) {
            targetWeights = Map.of();
            return Optional.empty();
        }
        final Set<NodeId> owners = plan.assignments().stream()
                .map(PlacementPlan.Assignment::ownerId)
                .collect(Collectors.toSet());
        if (!owners.stream().allMatch(count -> confirmedSerials.getOrDefault(count, -1L) >= plan.weightsSerial())) {
            confirmedSince = -1;
            return Optional.empty();
        }
        confirmedSince = confirmedSince < 0 ? now : confirmedSince;
        if (now - confirmedSince < SETTLE_MS) {
            return Optional.empty();
        }
        final PlacementPlan raised = plan.withWeights(targetWeights);
        targetWeights = Map.of();
        return Optional.of(raised);
    }
}
