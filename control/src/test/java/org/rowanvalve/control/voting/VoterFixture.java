package org.rowanvalve.control.voting;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.AcceptRequest;
import org.rowanvalve.common.message.AcceptResponse;
import org.rowanvalve.common.message.AckResponse;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.DigestRequest;
import org.rowanvalve.common.message.DigestResponse;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.MissingItemsRequest;
import org.rowanvalve.common.message.MissingItemsResponse;
import org.rowanvalve.common.message.PrepareRequest;
import org.rowanvalve.common.message.PrepareResponse;
import org.rowanvalve.common.message.Register;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.VirtualTimeLoop;
import org.rowanvalve.control.config.ConfigurationView;
import org.rowanvalve.control.consensus.Proposer;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.store.ItemDigest;
import org.rowanvalve.control.store.ItemStore;
import org.rowanvalve.control.view.ViewSynchronizer;

/** Three simulated voters, and the control plane components of one node that sends requests to them. */
public final class VoterFixture implements Transport {
    public static final List<NodeId> ALL = List.of(NodeId.of("a"), NodeId.of("b"), NodeId.of("c"));
    public final VirtualTimeLoop loop = new VirtualTimeLoop();
    public final EventJournal journal = new EventJournal(loop, 100);
    public final ItemStore items = new ItemStore(loop, journal);
    public final ConfigurationView configuration = new ConfigurationView(items);
    /** Voters that answer no request. */
    public final Set<NodeId> unreachable = new HashSet<>();
    /** Voters that confirm views, but do not answer prepare and accept requests. */
    public final Set<NodeId> nonVoting = new HashSet<>();

    public final List<Item> written = new ArrayList<>();
    /** Chosen items that the voters have and this node lacks. */
    public final List<ChosenItem> missingItems = new ArrayList<>();

    public final VotingConfiguration votingConfiguration = VotingConfiguration.of(new Quorum(ALL, Set.of()));
    public final ViewSynchronizer view = new ViewSynchronizer(
            votingConfiguration,
            loop,
            this,
            items,
            org.rowanvalve.common.model.LeaseTimings.DEFAULT,
            journal,
            items::merge,
            voter -> {});
    public final Proposer proposer = new Proposer(
            NodeId.of("z"),
            "1",
            votingConfiguration,
            loop,
            this,
            new Random(1),
            journal,
            items,
            () -> List.of(),
            new StoreHealth(votingConfiguration.quorum(), loop, journal));
    /** The delay of each response, in ms. */
    public long responseDelayMs = 1;

    /** The number of unanswered digest and item requests of each voter; {@link #mostOpenQueries} is its maximum. */
    public final Map<NodeId, Integer> openQueries = new HashMap<>();

    public int mostOpenQueries;
    private final Map<NodeId, Map<ItemId, Register>> registersByVoter = new HashMap<>();
    private long tags;

    public String tag() {
        return "t" + ++tags;
    }

    /** Starts the view synchronizer, so that the view is confirmed as long as a majority of the voters answers. */
    public void confirm() {
        view.start();
        loop.run(310);
    }

    public void put(final ItemId id, final long ver, final Object body) {
        items.merge(new ChosenItem(
                Ballot.ZERO, new Item(id, new org.rowanvalve.common.model.Version(ver), Json.write(body), false, "")));
    }

    @Override
    public void request(
            final NodeId recipient, final Message message, final long timeoutMs, final Consumer<Reply> callback) {
        final boolean isVote = message instanceof PrepareRequest || message instanceof AcceptRequest;
        if (unreachable.contains(recipient) || isVote && nonVoting.contains(recipient)) {
            loop.schedule(timeoutMs, () -> callback.accept(Reply.failed(Reply.Failure.NO_RESPONSE)));
        } else {
            countQuery(recipient, message, 1);
            loop.schedule(responseDelayMs, () -> {
                countQuery(recipient, message, -1);
                callback.accept(Reply.of(answer(recipient, message)));
            });
        }
    }

    private void countQuery(final NodeId recipient, final Message message, final int change) {
        if (message instanceof DigestRequest || message instanceof MissingItemsRequest) {
            mostOpenQueries = Math.max(mostOpenQueries, openQueries.merge(recipient, change, Integer::sum));
        }
    }

    private Message answer(final NodeId voter, final Message message) {
        final Map<ItemId, Register> registers = registersByVoter.computeIfAbsent(voter, k -> new HashMap<>());
        if (message instanceof PrepareRequest prepare) {
            final Register register = registers.getOrDefault(
                    prepare.id(), new Register(Ballot.ZERO, Ballot.ZERO, Item.none(prepare.id())));
            final boolean promised = prepare.ballot().isAbove(register.promisedBallot());
            if (promised) {
                registers.put(prepare.id(), new Register(prepare.ballot(), register.acceptedBallot(), register.item()));
            }
            return new PrepareResponse(
                    promised,
                    promised ? prepare.ballot() : register.promisedBallot(),
                    register.acceptedBallot(),
                    register.item());
        }
        if (message instanceof AcceptRequest accept) {
            registers.put(accept.item().id(), new Register(accept.ballot(), accept.ballot(), accept.item()));
            written.add(accept.item());
            return new AcceptResponse(true, accept.ballot());
        }
        if (message instanceof MissingItemsRequest) {
            return new MissingItemsResponse(missingItems, true, List.of());
        }
        return message instanceof DigestRequest
                ? new DigestResponse(missingItems.isEmpty(), java.util.Collections.nCopies(ItemDigest.BUCKETS, 1L))
                : new AckResponse();
    }
}
