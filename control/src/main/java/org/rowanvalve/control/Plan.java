package org.rowanvalve.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.common.Hash;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Token;

/** One epoch: which shield fills each shard, under which token. */
public record Plan(long epoch, long term, List<Part> parts, long serial, Map<String, List<Integer>> weights) {
    /** The whole of a store's rate, in the unit of weights. */
    public static final int WHOLE = 10_000;

    /** One shard of the plan: its owner and the fencing token of that owner. */
    public record Part(String owner, long term, long count) {
        public Token token() {
            return new Token(term, count);
        }

        public NodeId node() {
            return NodeId.of(owner);
        }
    }

    public Plan {
        parts = List.copyOf(parts);
        weights = weights == null ? Map.of() : Collections.unmodifiableMap(new TreeMap<>(weights));
    }

    public Plan(final long epoch, final long term, final List<Part> parts) {
        this(epoch, term, parts, 0, Map.of());
    }

    public Plan weighed(final Map<String, List<Integer>> next) {
        return new Plan(epoch + 1, term, parts, serial + 1, next);
    }

    public Plan of(final long now) {
        return new Plan(epoch + 1, now, parts, serial, weights);
    }

    /** A shard's part of the rate of a service's stores; even where nothing else is stated. */
    public int weight(final String service, final int shard) {
        final List<Integer> list = weights.get(service);
        return list == null || shard >= list.size() ? WHOLE / Math.max(1, parts.size()) : list.get(shard);
    }

    public static Plan of(final Item item) {
        return item.live() ? Json.read(item.body(), Plan.class) : new Plan(0, 0, List.of());
    }

    public Plan with(final long now, final Map<Integer, NodeId> moves, final int shards) {
        final List<Part> next = new ArrayList<>();
        for (int i = 0; i < shards; i++) {
            final Part old = i < parts.size() ? parts.get(i) : new Part("", 0, 0);
            if (moves.containsKey(i)) {
                final Token t = old.token().rise(now);
                next.add(new Part(moves.get(i).text(), t.term(), t.count()));
            } else {
                next.add(old);
            }
        }
        return new Plan(epoch + 1, now, next, serial, weights);
    }

    public static NodeId assign(final int shard, final Collection<NodeId> members) {
        return members.stream()
                .max(Comparator.comparingLong((NodeId n) -> Hash.mix("shard-" + shard + "/" + n.text()))
                        .thenComparing(Comparator.naturalOrder()))
                .orElseThrow();
    }

    public static int shard(final String route, final String service, final String key, final int shards) {
        return (int) Long.remainderUnsigned(Hash.mix(route + "|" + service + "|" + key), shards);
    }
}
