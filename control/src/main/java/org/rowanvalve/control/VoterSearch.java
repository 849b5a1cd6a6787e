package org.rowanvalve.control;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;

/** Looks for a later voting set while this node's frame is not confirmed: asks seeds and members who votes. */
public final class VoterSearch {
    private static final long EACH = 300;
    private static final int MEMBERS = 8;
    private final NodeId self;
    private final Electorate electorate;
    private final Loop loop;
    private final Net net;
    private final Supplier<List<NodeId>> members;
    private final BooleanSupplier fresh;
    private Set<NodeId> seeds;
    private int next;

    public VoterSearch(
            final NodeId self,
            final Electorate electorate,
            final Loop loop,
            final Net net,
            final List<NodeId> seeds,
            final Supplier<List<NodeId>> members,
            final BooleanSupplier fresh) {
        this.self = self;
        this.electorate = electorate;
        this.loop = loop;
        this.net = net;
        this.seeds = new LinkedHashSet<>(seeds);
        this.members = members;
        this.fresh = fresh;
    }

    public void start() {
        loop.every(EACH, () -> {
            if (!fresh.getAsBoolean()) {
                ask();
            }
        });
    }

    /** From now on these seeds are asked. */
    public void seeds(final List<NodeId> list) {
        seeds = new LinkedHashSet<>(list);
    }

    public Set<NodeId> seeds() {
        return seeds;
    }

    /** All seeds, and some of the members in turn. */
    private void ask() {
        final Set<NodeId> asked = new LinkedHashSet<>(seeds);
        final List<NodeId> known = members.get();
        for (int i = 0; i < Math.min(MEMBERS, known.size()); i++) {
            asked.add(known.get(next++ % known.size()));
        }
        asked.remove(self);
        asked.forEach(node -> net.ask(
                node,
                new Msg.Seats(),
                EACH,
                r -> r.as(Msg.Seated.class)
                        .filter(s -> s.voters() != null)
                        .ifPresent(s ->
                                electorate.settle(node, s.voters().item().ver().n(), s.voters()))));
    }
}
