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
 * Finds the accepted values that are chosen by comparing the states of the voters, instead of running a ballot for each
 * value. A value is chosen if a write quorum of one epoch has accepted it under the same ballot. The voters exchange
 * one checksum per bucket over the values that they have accepted and synced. If the checksum of a bucket is the same
 * at a write quorum, all values of this bucket are chosen. The cost depends on the number of buckets and not on the
 * number of values.
 *
 * <p>Safety: both sides compute their checksums before they wait for their disks, so each value that counts is synced
 * by every voter that counts for it. A voter accepts under a ballot only the value that this ballot proposed, so two
 * values with the same ballot are equal, and every later ballot finds this value, or a later one, at every read
 * quorum.
 *
 * <p>A voter of an earlier release does not know the request and closes the connection. Therefore the delay before the
 * next round doubles after each round in which too few voters responded.
 */
final class AcceptedValueComparison {
    static final int BUCKETS = 1024;
    private static final long TIMEOUT_MILLIS = 500;
    private static final long MIN_ROUND_DELAY_MS = 100;
    private static final int MAX_DELAY_DOUBLINGS = 4;
    private final NodeId self;
    private final VotingConfiguration votingConfiguration;
    private final AcceptorState state;
    private final EventLoop loop;
    private final Transport transport;
    private Round currentRound;
    private long nextRoundAt = Long.MIN_VALUE;
    private int failures;

    AcceptedValueComparison(final VoterContext context, final AcceptorState state) {
        this.self = context.self();
        this.votingConfiguration = context.votingConfiguration();
        this.state = state;
        this.loop = context.loop();
        this.transport = context.transport();
    }

    /**
     * Starts a round, unless one is in progress or the delay after the last one is not over. {@code learner} receives
     * every value that is found to be chosen. {@code examined} receives the registers that were compared, once enough
     * voters have responded. It is not called if too few voters respond; the caller then has to try again.
     */
    void run(final Consumer<ChosenItem> learner, final Consumer<Collection<ItemId>> examined) {
        if (currentRound == null && loop.now() >= nextRoundAt) {
            currentRound = new Round(learner, examined);
            currentRound.start();
        }
    }

    private final class Round {
        private final Quorum quorum = votingConfiguration.quorum();
        private final List<Register> accepted = state.registers().values().stream()
                .filter(register -> register.acceptedBallot().round() > 0)
                .toList();
        private final List<Long> ownChecksums = AcceptorState.checksums(accepted, BUCKETS);
        private final Map<NodeId, List<Long>> checksums = new HashMap<>();
        private final Set<NodeId> responded = new HashSet<>();
        private final Consumer<ChosenItem> learner;
        private final Consumer<Collection<ItemId>> examined;

        Round(final Consumer<ChosenItem> learner, final Consumer<Collection<ItemId>> examined) {
            this.learner = learner;
            this.examined = examined;
        }

        void start() {
            state.whenSynced(this::requestChecksums);
            loop.schedule(2 * TIMEOUT_MILLIS, this::end);
        }

        private void requestChecksums() {
            if (currentRound != this) {
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
            if (currentRound != this || quorum.epoch() != votingConfiguration.epoch()) {
                end();
                return;
            }
            responded.add(voter);
            reply.as(AcceptedChecksumsResponse.class)
                    .filter(response -> response.checksums().size() == BUCKETS)
                    .ifPresent(response -> {
                        checksums.put(voter, response.checksums());
                        learnEqualBuckets();
                    });
            if (responded.size() == quorum.voters().size() - 1) {
                finish();
            }
        }

        private void finish() {
            final boolean hasMajority = checksums.size() + 1 >= quorum.majority();
            if (hasMajority) {
                examined.accept(
                        accepted.stream().map(register -> register.item().id()).toList());
            }
            failures = hasMajority ? 0 : Math.min(MAX_DELAY_DOUBLINGS, failures + 1);
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
            final Set<NodeId> matching = new HashSet<>(Set.of(self));
            checksums.forEach((voter, sums) -> {
                if (sums.get(bucket).equals(ownChecksums.get(bucket))) {
                    matching.add(voter);
                }
            });
            return quorum.isWriteQuorum(matching);
        }

        private void end() {
            if (currentRound == this) {
                currentRound = null;
                nextRoundAt = loop.now() + (MIN_ROUND_DELAY_MS << failures);
            }
        }
    }
}
