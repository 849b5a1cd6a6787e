package org.rowanvalve.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.NodeId;

/**
 * Each shard's part of a content store's rate follows what its holder wants to send. Holders whose part falls are lowered
 * first; only when every holder has said that it goes by the lowered parts, and a moment more has passed, are the others
 * raised. So at any time, whichever of the two plans a holder goes by, all of them together send no more than the rate.
 */
final class Shares {
    private static final long ROUND = 4000;
    /** The same while a service is wanted whose parts have never been set to its demand. */
    private static final long FIRST_ROUND = 1000;

    private static final long REST = 1000;
    private static final double EVEN = 0.25;
    private static final double WORTH = 0.08;
    private final Map<String, Map<Integer, Double>> wishes = new TreeMap<>();
    private final Map<NodeId, Long> said = new HashMap<>();
    private Map<String, List<Integer>> goal = Map.of();
    /** Who held the shards when parts were lowered: with others the goal no longer fits. */
    private List<String> ownersWhenLowered = List.of();

    private long looked;
    private long calm = -1;

    void clear(final long now) {
        wishes.clear();
        said.clear();
        goal = Map.of();
        looked = now;
        calm = -1;
    }

    void hear(final NodeId from, final Msg.Renew r) {
        said.put(from, r.serial());
        if (r.wishes() != null) {
            r.wishes()
                    .forEach(w -> wishes.computeIfAbsent(w.service(), k -> new HashMap<>())
                            .merge(w.shard(), (double) w.n(), Double::sum));
        }
    }

    /** The plan with other weights, where it is time for them. */
    Optional<Plan> next(final Plan plan, final int shards, final long now) {
        if (!goal.isEmpty()) {
            return raise(plan, now);
        }
        final boolean known = plan.weights().keySet().containsAll(wishes.keySet());
        if (now - looked < (known ? ROUND : FIRST_ROUND)) {
            return Optional.empty();
        }
        looked = now;
        final Map<String, List<Integer>> want = new TreeMap<>(plan.weights());
        wishes.forEach((service, by) -> {
            final double sum =
                    by.values().stream().mapToDouble(Double::doubleValue).sum();
            if (sum >= 20) {
                final List<Integer> list = new ArrayList<>();
                for (int s = 0; s < shards; s++) {
                    list.add((int) (Plan.WHOLE * (EVEN / shards + (1 - EVEN) * by.getOrDefault(s, 0.0) / sum)));
                }
                if (worth(plan, service, list)) {
                    want.put(service, list);
                }
            }
        });
        wishes.values().forEach(by -> by.replaceAll((s, n) -> n / 2));
        if (want.equals(plan.weights())) {
            return Optional.empty();
        }
        goal = want;
        calm = -1;
        final Map<String, List<Integer>> low = new TreeMap<>();
        want.forEach((service, list) -> low.put(service, lowered(plan, service, list)));
        ownersWhenLowered = owners(plan);
        return Optional.of(plan.weighed(low));
    }

    /** The wanted parts of shards, scaled down for holders that gain to what they have by the plan. */
    private static List<Integer> lowered(final Plan plan, final String service, final List<Integer> list) {
        final Map<String, Integer> before = new HashMap<>();
        final Map<String, Integer> after = new HashMap<>();
        for (int s = 0; s < list.size(); s++) {
            before.merge(plan.parts().get(s).owner(), plan.weight(service, s), Integer::sum);
            after.merge(plan.parts().get(s).owner(), list.get(s), Integer::sum);
        }
        final List<Integer> least = new ArrayList<>();
        for (int s = 0; s < list.size(); s++) {
            final String owner = plan.parts().get(s).owner();
            final boolean gains = after.get(owner) > before.get(owner);
            least.add(gains ? (int) ((long) list.get(s) * before.get(owner) / after.get(owner)) : list.get(s));
        }
        return least;
    }

    private static List<String> owners(final Plan plan) {
        return plan.parts().stream().map(Plan.Part::owner).toList();
    }

    /** Whether some holder's part would change by enough. */
    private static boolean worth(final Plan plan, final String service, final List<Integer> list) {
        final Map<String, Integer> change = new HashMap<>();
        for (int s = 0; s < list.size(); s++) {
            change.merge(plan.parts().get(s).owner(), list.get(s) - plan.weight(service, s), Integer::sum);
        }
        return change.values().stream().anyMatch(c -> Math.abs(c) > WORTH * Plan.WHOLE);
    }

    private Optional<Plan> raise(final Plan plan, final long now) {
        if (!owners(plan).equals(ownersWhenLowered)) {
            goal = Map.of();
            return Optional.empty();
        }
        final Set<NodeId> owners = plan.parts().stream().map(Plan.Part::node).collect(Collectors.toSet());
        if (!owners.stream().allMatch(n -> said.getOrDefault(n, -1L) >= plan.serial())) {
            calm = -1;
            return Optional.empty();
        }
        calm = calm < 0 ? now : calm;
        if (now - calm < REST) {
            return Optional.empty();
        }
        final Plan up = plan.weighed(goal);
        goal = Map.of();
        return Optional.of(up);
    }
}
