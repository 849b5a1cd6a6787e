package org.rowanvalve.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Reply;

/**
 * The set of voters that this node goes by. It begins as the founding set and only moves forward, to a later set that
 * was chosen by ballot of the set before it.
 */
public final class Electorate {
    private final List<Runnable> listeners = new ArrayList<>();
    private Quorum quorum;
    private List<String> addresses;
    private Msg.Chosen chosen;
    private Consumer<Msg.Chosen> learn = this::adopt;
    private BiConsumer<NodeId, Msg.Chosen> teach = (to, set) -> {};

    /** {@code addresses}: the founding voters as {@code ID@IP:PORT}; empty where they are reached by other means. */
    public Electorate(final Quorum founding, final List<String> addresses) {
        this.quorum = founding;
        this.addresses = List.copyOf(addresses);
    }

    public static Electorate of(final Quorum founding) {
        return new Electorate(founding, List.of());
    }

    /** How a later set is passed on: {@code learn} takes it in here, {@code teach} sends it to a node that lacks it. */
    public void connect(final Consumer<Msg.Chosen> learnSet, final BiConsumer<NodeId, Msg.Chosen> teachSet) {
        learn = learnSet;
        teach = teachSet;
    }

    /** Goes by the latest set that this node has learned. */
    public void follow(final ItemStore items) {
        items.watch(item -> {
            if (item.id().equals(ItemId.VOTERS)) {
                items.chosen(List.of(item.id())).forEach(this::adopt);
            }
        });
    }

    public Quorum quorum() {
        return quorum;
    }

    public long epoch() {
        return quorum.epoch();
    }

    public List<NodeId> voters() {
        return quorum.voters();
    }

    public boolean has(final NodeId id) {
        return quorum.has(id);
    }

    /** The present voters as {@code ID@IP:PORT}. */
    public List<String> addresses() {
        return addresses;
    }

    /** The chosen item that names the present voters; empty while the founding set votes. */
    public Optional<Msg.Chosen> chosen() {
        return Optional.ofNullable(chosen);
    }

    /** The voters of the epoch before the present one. */
    public List<NodeId> previous() {
        return chosen == null ? List.of() : VoterSet.of(chosen.item()).previousIds();
    }

    public void onChange(final Runnable listener) {
        listeners.add(listener);
    }

    /** Goes over to a chosen set where it is later than the present one. */
    public void adopt(final Msg.Chosen set) {
        if (!set.item().id().equals(ItemId.VOTERS)
                || set.item().ver().n() <= quorum.epoch()
                || !quorum.stores().isEmpty()) {
            return;
        }
        final VoterSet body = VoterSet.of(set.item());
        chosen = set;
        addresses = body.voters();
        quorum = new Quorum(set.item().ver().n(), body.ids(), quorum.stores());
        listeners.forEach(Runnable::run);
    }

    /** What a voter says to a message of another epoch than its own. */
    public Msg.OtherEpoch refusal() {
        return new Msg.OtherEpoch(epoch(), chosen);
    }

    /** Whether a voter refused the epoch of a message; whichever side is behind is told of the later set. */
    public boolean refused(final NodeId from, final Reply reply) {
        final Optional<Msg.OtherEpoch> other = reply.as(Msg.OtherEpoch.class);
        other.ifPresent(o -> settle(from, o.epoch(), o.voters()));
        return other.isPresent();
    }

    /** Compares what another node knows with what is known here. */
    public void settle(final NodeId from, final long epoch, final Msg.Chosen set) {
        if (epoch > epoch() && set != null) {
            learn.accept(set);
        } else if (epoch < epoch() && chosen != null) {
            teach.accept(from, chosen);
        }
    }
}
