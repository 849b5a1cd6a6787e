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

/** Asks seeds and members for a later voting set while the view of this node is not confirmed. */
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

    /** Starts a periodic search, which asks other nodes only while the view is not confirmed. */
    public void start() {
        loop.scheduleRepeatedly(INTERVAL_MS, () -> {
            if (!viewFresh.getAsBoolean()) {
                askForVotingSet();
            }
        });
    }

    /** Replaces the seeds that are asked. */
    public void seeds(final List<NodeId> newSeeds) {
        seeds = new LinkedHashSet<>(newSeeds);
    }

    public Set<NodeId> seeds() {
        return seeds;
    }

    /** Asks all seeds, and up to {@link #MEMBERS_PER_ROUND} of the members in rotation. */
    private void askForVotingSet() {
        final Set<NodeId> recipients = new LinkedHashSet<>(seeds);
        final List<NodeId> knownMembers = members.get();
        for (int i = 0; i < Math.min(MEMBERS_PER_ROUND, knownMembers.size()); i++) {
            recipients.add(knownMembers.get(nextMember++ % knownMembers.size()));
        }
        recipients.remove(self);
        recipients.forEach(node -> transport.request(
                node,
                new VotersRequest(),
                INTERVAL_MS,
                reply -> reply.as(VotersResponse.class)
                        .filter(response -> response.votingSet() != null)
                        .ifPresent(response -> votingConfiguration.reconcile(
                                node, response.votingSet().item().version().number(), response.votingSet()))));
    }
}
