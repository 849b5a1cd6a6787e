package org.rowanvalve.control.voting;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.EpochMismatchResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.control.store.ItemStore;

/**
 * The voting set that this node uses. It is initially the founding set and is only ever replaced by a later set, which
 * the voters of the preceding set have chosen by ballot.
 */
public final class VotingConfiguration {
    private final List<Runnable> listeners = new ArrayList<>();
    private Quorum quorum;
    private List<String> addresses;
    private ChosenItem chosenSet;
    private Consumer<ChosenItem> learner = this::adopt;
    private BiConsumer<NodeId, ChosenItem> teacher = (recipient, set) -> {};

    /** {@code addresses}: the founding voters as {@code ID@IP:PORT}; empty if they are reached by other means. */
    public VotingConfiguration(final Quorum founding, final List<String> addresses) {
        this.quorum = founding;
        this.addresses = List.copyOf(addresses);
    }

    public static VotingConfiguration of(final Quorum founding) {
        return new VotingConfiguration(founding, List.of());
    }

    /**
     * Sets how a later voting set is propagated: {@code learnSet} merges it into this node's items, {@code teachSet}
     * sends it to a node that has an earlier set.
     */
    public void connectPeers(final Consumer<ChosenItem> learnSet, final BiConsumer<NodeId, ChosenItem> teachSet) {
        learner = learnSet;
        teacher = teachSet;
    }

    /** Adopts each later voting set that is added to {@code items}. */
    public void followStore(final ItemStore items) {
        items.addListener(item -> {
            if (item.id().equals(ItemId.VOTERS)) {
                items.chosenItems(List.of(item.id())).forEach(this::adopt);
            }
        });
    }

    /** The voters of the present epoch. */
    public Quorum quorum() {
        return quorum;
    }

    /** The present epoch; 0 for the founding set. */
    public long epoch() {
        return quorum.epoch();
    }

    public List<NodeId> voters() {
        return quorum.voters();
    }

    public boolean isVoter(final NodeId id) {
        return quorum.contains(id);
    }

    /** The present voters as {@code ID@IP:PORT}. */
    public List<String> addresses() {
        return addresses;
    }

    /** The chosen item that contains the present voting set; empty while the founding set is in use. */
    public Optional<ChosenItem> chosenSet() {
        return Optional.ofNullable(chosenSet);
    }

    /** The voters of the epoch before the present one. */
    public List<NodeId> previousVoters() {
        return chosenSet == null ? List.of() : VotingSet.of(chosenSet.item()).previousVoterIds();
    }

    /** Adds a listener that runs in the event loop after each change of the voting set. */
    public void addListener(final Runnable listener) {
        listeners.add(listener);
    }

    /** Replaces the present voting set if {@code set} is later. Does nothing if the founding set has stores. */
    public void adopt(final ChosenItem set) {
        if (!set.item().id().equals(ItemId.VOTERS)
                || set.item().version().number() <= quorum.epoch()
                || !quorum.stores().isEmpty()) {
            return;
        }
        final VotingSet body = VotingSet.of(set.item());
        chosenSet = set;
        addresses = body.voters();
        quorum = new Quorum(set.item().version().number(), body.voterIds(), quorum.stores());
        listeners.forEach(Runnable::run);
    }

    /** The response of a voter to a message of a different epoch. */
    public EpochMismatchResponse epochMismatch() {
        return new EpochMismatchResponse(epoch(), chosenSet);
    }

    /** Whether a voter rejected a message because of its epoch. If so, the node with the earlier set gets the later one. */
    public boolean isEpochMismatch(final NodeId from, final Reply reply) {
        final Optional<EpochMismatchResponse> response = reply.as(EpochMismatchResponse.class);
        response.ifPresent(mismatch -> reconcile(from, mismatch.epoch(), mismatch.votingSet()));
        return response.isPresent();
    }

    /** Compares the epoch of another node with that of this node, and gives the later set to the node that lacks it. */
    public void reconcile(final NodeId from, final long epoch, final ChosenItem set) {
        if (epoch > epoch() && set != null) {
            learner.accept(set);
        } else if (epoch < epoch() && chosenSet != null) {
            teacher.accept(from, chosenSet);
        }
    }
}
