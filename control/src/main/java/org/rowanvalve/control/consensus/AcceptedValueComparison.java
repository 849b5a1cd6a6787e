package org.rowanvalve.control.consensus;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.rowanvalve.common.message.AcceptedChecksumsRequest;
import org.rowanvalve.common.message.AcceptedChecksumsResponse;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.Register;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.store.ItemDigest;
import org.rowanvalve.control.voting.Quorum;
import org.rowanvalve.control.voting.VotingConfiguration;

/**
 * Learns which accepted values are chosen by comparing them, without a ballot for each: a value that a write quorum of
 * one epoch has accepted under one ballot is chosen. The voters exchange checksums by bucket over what they have
 * accepted and synced; all values of a bucket whose checksum is the same at a write quorum are chosen. The cost follows
 * from the number of buckets and not from the number of values.
 *
 * <p>Safety: both sides take their checksums before they wait for their disks, so each value counted was synced by the
 * voter that counts for it. A voter accepts under a ballot only what that ballot proposed, so two values under one
 * ballot are the same, and any later ballot finds this value, or a later one, at every read quorum.
 *
 * <p>A voter of an earlier release does not know the request and closes the connection; so the pause doubles after each
 * round to which too few voters have answered.
 */
final class AcceptedValueComparison {
    static final int BUCKETS = 1024;
    private static final long TIMEOUT_MILLIS = 500;
    private static final long RETRY_MS = 100;
    private static final int MAX_RETRY_DOUBLINGS = 4;
    private final NodeId self;
    private final VotingConfiguration votingConfiguration;
    private final AcceptorState state;
    private final EventLoop loop;
    private final Transport transport;
    private Round current;
    private long nextAt = Long.MIN_VALUE;
    private int failures;

    AcceptedValueComparison(final VoterContext context, final AcceptorState state) {
        this.self = context.self();
        this.votingConfiguration = context.votingConfiguration();
        this.state = state;
        this.loop = context.loop();
        this.transport = context.transport();
    }

    /**
     * Begins a round unless one is under way. {@code learner} gets every value that is found to be chosen;
     * {@code examined} gets the registers that were compared, once enough voters have answered. Without that nothing is
     * said, and the caller tries again.
     */
    void run(final Consumer<ChosenItem> learner, final Consumer<Collection<ItemId>> examined) {
        if (current == null && loop.now() >= nextAt) {
            current = new Round(learner, examined);
            current.start();
        }
    }

    private final class Round {
        private final Quorum quorum = votingConfiguration.quorum();
        private final List<Register> accepted = state.registers().values().stream()
                .filter(register -> register.acceptedBallot().round() > 0)
                .toList();
        private final List<Long> ownChecksums = AcceptorState.checksums(accepted, BUCKETS);
        private final Map<NodeId, List<Long>> checksums = new HashMap<>();
        private final Set<NodeId> answered = new HashSet<>();
        private final Consumer<ChosenItem> learner;
        private final Consumer<Collection<ItemId>> examined;

        Round(final Consumer<ChosenItem> learner, final Consumer<Collection<ItemId>> examined) {
            this.learner = learner;
            this.examined = examined;
        }

        void start() {
            state.whenSynced(this::ask);
            loop.schedule(2 * TIMEOUT_MILLIS, this::end);
        }

        private void ask() {
            if (current != this) {
                return;
            }
            final List<NodeId> others = quorum.voters().stream()
                    .filter(voter -> !voter.equals(self))
                    .toList();
            others.forEach(voter -> transport.request(
                    voter,
                    new AcceptedChecksumsRequest(quorum.epoch(), BUCKETS),
                    TIMEOUT_MILLIS,
                    reply -> onReply(voter, reply)));
            if (others.isEmpty()) {
                learnEqualBuckets();
                finish();
            }
        }

        private void onReply(final NodeId voter, final Reply reply) {
            votingConfiguration.isEpochMismatch(voter, reply);
            if (current != this || quorum.epoch() != votingConfiguration.epoch()) {
                end();
                return;
            }
            answered.add(voter);
            reply.as(AcceptedChecksumsResponse.class)
                    .filter(response -> response.checksums().size() == BUCKETS)
                    .ifPresent(response -> {
                        checksums.put(voter, response.checksums());
                        learnEqualBuckets();
                    });
            if (answered.size() == quorum.voters().size() - 1) {
                finish();
            }
        }

        private void finish() {
            final boolean enough = checksums.size() + 1 >= quorum.majority();
            if (enough) {
                examined.accept(
                        accepted.stream().map(register -> register.item().id()).toList());
            }
            failures = enough ? 0 : Math.min(MAX_RETRY_DOUBLINGS, failures + 1);
            end();
        }

        private void learnEqualBuckets() {
            final Map<Integer, Boolean> chosenBuckets = new TreeMap<>();
            for (final Register register : accepted) {
                final int bucket = ItemDigest.bucket(register.item().id(), BUCKETS);
                if (register.item().version().number() > 0
                        && chosenBuckets.computeIfAbsent(bucket, this::isEqualAtWriteQuorum)) {
                    learner.accept(new ChosenItem(register.acceptedBallot(), register.item()));
                }
            }
        }

        private boolean isEqualAtWriteQuorum(final int bucket) {
            final Set<NodeId> equal = new HashSet<>(Set.of(self));
            checksums.forEach((voter, sums) -> {
                if (sums.get(bucket).equals(ownChecksums.get(bucket))) {
                    equal.add(voter);
                }
            });
            return quorum.isWriteQuorum(equal);
        }

        private void end() {
            if (current == this) {
                current = null;
                nextAt = loop.now() + (RETRY_MS << failures);
            }
        }
    }
}
