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
 * The voting set that this node goes by. It begins as the founding set and only moves forward, to a later set that was
 * chosen by ballot of the set before it.
 */
public final class VotingConfiguration {
    private final List<Runnable> listeners = new ArrayList<>();
    private Quorum quorum;
    private List<String> addresses;
    private ChosenItem chosenSet;
    private Consumer<ChosenItem> learner = this::adopt;
    private BiConsumer<NodeId, ChosenItem> teacher = (recipient, set) -> {};

    /** {@code addresses}: the founding voters as {@code ID@IP:PORT}; empty where they are reached by other means. */
    public VotingConfiguration(final Quorum founding, final List<String> addresses) {
        this.quorum = founding;
        this.addresses = List.copyOf(addresses);
    }

    public static VotingConfiguration of(final Quorum founding) {
        return new VotingConfiguration(founding, List.of());
    }

    /**
     * How a later set is distributed: {@code learnSet} takes it in here, {@code teachSet} sends it to a node that lacks
     * it.
     */
    public void connectPeers(final Consumer<ChosenItem> learnSet, final BiConsumer<NodeId, ChosenItem> teachSet) {
        learner = learnSet;
        teacher = teachSet;
    }

    /** Goes by the latest set that this node has learned. */
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

    /** The chosen item that names the present voters; empty while the founding set votes. */
    public Optional<ChosenItem> chosenSet() {
        return Optional.ofNullable(chosenSet);
    }

    /** The voters of the epoch before the present one. */
    public List<NodeId> previousVoters() {
        return chosenSet == null ? List.of() : VotingSet.of(chosenSet.item()).previousVoterIds();
    }

    /** {@code listener} runs after each change of the voting set, in the event loop. */
    public void addListener(final Runnable listener) {
        listeners.add(listener);
    }

    /** Moves to a chosen set where it is later than the present one. */
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

    /** A voter's answer to a message of another epoch than its own. */
    public EpochMismatchResponse epochMismatch() {
        return new EpochMismatchResponse(epoch(), chosenSet);
    }

    /** Whether a voter refused the epoch of a message; whichever side is behind gets the later set. */
    public boolean isEpochMismatch(final NodeId from, final Reply reply) {
        final Optional<EpochMismatchResponse> other = reply.as(EpochMismatchResponse.class);
        other.ifPresent(o -> reconcile(from, o.epoch(), o.votingSet()));
        return other.isPresent();
    }

    /** Compares what another node knows with what is known here. */
    public void reconcile(final NodeId from, final long epoch, final ChosenItem set) {
        if (epoch > epoch() && set != null) {
            learner.accept(set);
        } else if (epoch < epoch() && chosenSet != null) {
            teacher.accept(from, chosenSet);
        }
    }
}
