package org.rowanvalve.control.voting;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.rowanvalve.common.message.VotersRequest;
import org.rowanvalve.common.message.VotersResponse;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;

/** Searches for a later voting set while this node's view is not confirmed: asks seeds and members who votes. */
public final class VotingSetSearch {
    private static final long INTERVAL_MS = 300;
    private static final int MEMBERS_PER_ROUND = 8;
    private final NodeId self;
    private final VotingConfiguration votingConfiguration;
    private final EventLoop loop;
    private final Transport transport;
    private final Supplier<List<NodeId>> members;
    private final BooleanSupplier viewFresh;
    private Set<NodeId> seeds;
    private int nextMember;

    public VotingSetSearch(
            final NodeId self,
            final VotingConfiguration votingConfiguration,
            final EventLoop loop,
            final Transport transport,
            final List<NodeId> seeds,
            final Supplier<List<NodeId>> members,
            final BooleanSupplier viewFresh) {
        this.self = self;
        this.votingConfiguration = votingConfiguration;
        this.loop = loop;
        this.transport = transport;
        this.seeds = new LinkedHashSet<>(seeds);
        this.members = members;
        this.viewFresh = viewFresh;
    }

    /** Begins to search whenever the view is not confirmed. */
    public void start() {
        loop.scheduleRepeatedly(INTERVAL_MS, () -> {
            if (!viewFresh.getAsBoolean()) {
                askForVotingSet();
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
    private void askForVotingSet() {
        final Set<NodeId> asked = new LinkedHashSet<>(seeds);
        final List<NodeId> known = members.get();
        for (int i = 0; i < Math.min(MEMBERS_PER_ROUND, known.size()); i++) {
            asked.add(known.get(nextMember++ % known.size()));
        }
        asked.remove(self);
        asked.forEach(node -> transport.request(
                node,
                new VotersRequest(),
                INTERVAL_MS,
                reply -> reply.as(VotersResponse.class)
                        .filter(s -> s.votingSet() != null)
                        .ifPresent(s -> votingConfiguration.reconcile(
                                node, s.votingSet().item().version().number(), s.votingSet()))));
    }
}
