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
 * Adapts each shard's share of a content store's rate to the demand of the shard's holder.
 *
 * <p>Safety: the shares of holders that lose are lowered first. The other shares are raised only after every holder has
 * confirmed that it applies the lowered shares and a settling time has passed. So at any time the holders together send
 * no more than the rate, whichever of the two plans each of them applies.
 */
public final class RateShareBalancer {
    private static final long ROUND_MS = 4000;
    /** The interval between rounds while there is demand for a service whose shares never followed its demand. */
    private static final long FIRST_ROUND_MS = 1000;

    /** The time between the last confirmation of lowered shares and the raise, in which requests under way can end. */
    private static final long SETTLE_MS = 1000;

    /** The fraction of a rate that is divided equally among the shards, whatever the demand. */
    private static final double EVEN_FRACTION = 0.25;

    /** The smallest change of a holder's share that justifies new weights, as a fraction of the rate. */
    private static final double MIN_CHANGE = 0.08;

    /** The number of requests below which the demand for a service changes no shares. */
    private static final double MIN_DEMAND = 20;

    private final Map<String, Map<Integer, Double>> demand = new TreeMap<>();
    private final Map<NodeId, Long> confirmedSerials = new HashMap<>();
    private Map<String, List<Integer>> targetWeights = Map.of();
    /** The shards' owners when shares were lowered; the target weights do not apply to other owners. */
    private List<String> ownersWhenLowered = List.of();

    private long lastRoundAt;
    private long confirmedSince = -1;

    /** Discards all recorded demand, as is done at the start of a term. */
    public void clear(final long now) {
        demand.clear();
        confirmedSerials.clear();
        targetWeights = Map.of();
        lastRoundAt = now;
        confirmedSince = -1;
    }

    /** Records the demand and the confirmed weights that a holder reports with its renewal. */
    public void onRenewal(final NodeId from, final LeaseRenewRequest request) {
        confirmedSerials.put(from, request.weightsSerial());
        if (request.demand() != null) {
            request.demand()
                    .forEach(reported -> demand.computeIfAbsent(reported.service(), k -> new HashMap<>())
                            .merge(reported.shard(), (double) reported.count(), Double::sum));
        }
    }

    /** Returns the plan with new weights if the weights are due for a change. */
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
            if (sum >= MIN_DEMAND) {
                final List<Integer> weights = new ArrayList<>();
                for (int shard = 0; shard < shards; shard++) {
                    weights.add((int) (PlacementPlan.WEIGHT_SCALE
                            * (EVEN_FRACTION / shards
                                    + (1 - EVEN_FRACTION) * demandByShard.getOrDefault(shard, 0.0) / sum)));
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

    /** Returns the wanted weights; those of a holder that gains are scaled down to the sum that it has in the plan. */
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

    /** Whether the share of some holder would change by more than {@link #MIN_CHANGE}. */
    private static boolean isSignificant(final PlacementPlan plan, final String service, final List<Integer> weights) {
        final Map<String, Integer> change = new HashMap<>();
        for (int shard = 0; shard < weights.size(); shard++) {
            change.merge(
                    plan.assignments().get(shard).owner(),
                    weights.get(shard) - plan.weight(service, shard),
                    Integer::sum);
        }
        return change.values().stream().anyMatch(delta -> Math.abs(delta) > MIN_CHANGE * PlacementPlan.WEIGHT_SCALE);
    }

    private Optional<PlacementPlan> raiseWeights(final PlacementPlan plan, final long now) {
        if (!owners(plan).equals(ownersWhenLowered)) {
            targetWeights = Map.of();
            return Optional.empty();
        }
        final Set<NodeId> owners = plan.assignments().stream()
                .map(PlacementPlan.Assignment::ownerId)
                .collect(Collectors.toSet());
        if (!owners.stream().allMatch(owner -> confirmedSerials.getOrDefault(owner, -1L) >= plan.weightsSerial())) {
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
