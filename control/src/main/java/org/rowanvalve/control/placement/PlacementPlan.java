package org.rowanvalve.control.placement;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.Hash;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.control.json.Json;

/**
 * The placement of one epoch: the owner of each shard with its fencing token, and the shards' shares of rate limits.
 */
public record PlacementPlan(
        long epoch,
        long term,
        @JsonProperty("parts") List<Assignment> assignments,
        @JsonProperty("serial") long weightsSerial,
        Map<String, List<Integer>> weights) {
    /** The sum of weights that stands for the whole rate of a service. */
    public static final int WEIGHT_SCALE = 10_000;

    /** The owner of one shard and the fencing token of that owner. */
    public record Assignment(String owner, long term, long count) {
        public FencingToken token() {
            return new FencingToken(term, count);
        }

        public NodeId ownerId() {
            return NodeId.of(owner);
        }
    }

    public PlacementPlan {
        assignments = List.copyOf(assignments);
        weights = weights == null ? Map.of() : Collections.unmodifiableMap(new TreeMap<>(weights));
    }

    public PlacementPlan(final long epoch, final long term, final List<Assignment> assignments) {
        this(epoch, term, assignments, 0, Map.of());
    }

    /** Returns the plan of the next epoch with new shares of the rate limits. */
    public PlacementPlan withWeights(final Map<String, List<Integer>> newWeights) {
        return new PlacementPlan(epoch + 1, term, assignments, weightsSerial + 1, newWeights);
    }

    /** Returns the same placement as the first plan of a new term. */
    public PlacementPlan of(final long newTerm) {
        return new PlacementPlan(epoch + 1, newTerm, assignments, weightsSerial, weights);
    }

    /**
     * Returns a shard's share of the rate of a service; the shares are equal if the plan states none for the service.
     */
    public int weight(final String service, final int shard) {
        final List<Integer> shares = weights.get(service);
        return shares == null || shard >= shares.size()
                ? WEIGHT_SCALE / Math.max(1, assignments.size())
                : shares.get(shard);
    }

    /** Returns the plan in the item, or an empty plan if the item does not exist. */
    public static PlacementPlan of(final Item item) {
        return item.exists() ? Json.read(item.body(), PlacementPlan.class) : new PlacementPlan(0, 0, List.of());
    }

    /** Returns the plan of the next epoch; each shard in {@code moves} gets its new owner and a new fencing token. */
    public PlacementPlan withMoves(final long currentTerm, final Map<Integer, NodeId> moves, final int shards) {
        final List<Assignment> next = new ArrayList<>();
        for (int i = 0; i < shards; i++) {
            final Assignment previous = i < assignments.size() ? assignments.get(i) : new Assignment("", 0, 0);
            if (moves.containsKey(i)) {
                final FencingToken token = previous.token().next(currentTerm);
                next.add(new Assignment(moves.get(i).text(), token.term(), token.count()));
            } else {
                next.add(previous);
            }
        }
        return new PlacementPlan(epoch + 1, currentTerm, next, weightsSerial, weights);
    }

    /** Returns the owner of a shard by rendezvous hashing: a member that joins or leaves moves only its own shards. */
    public static NodeId rendezvousOwner(final int shard, final Collection<NodeId> members) {
        return members.stream()
                .max(Comparator.comparingLong((NodeId node) -> Hash.hash64("shard-" + shard + "/" + node.text()))
                        .thenComparing(Comparator.naturalOrder()))
                .orElseThrow();
    }

    /** Returns the shard of a key, which is the same on every node. */
    public static int shardOf(final String route, final String service, final String key, final int shards) {
        return (int) Long.remainderUnsigned(Hash.hash64(route + "|" + service + "|" + key), shards);
    }
}
