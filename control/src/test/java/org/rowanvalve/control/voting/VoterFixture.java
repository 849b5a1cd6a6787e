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

/** Three electors that answer at once, and one node's part of the control plane that asks them. */
public final class VoterFixture implements Transport {
    public static final List<NodeId> ALL = List.of(NodeId.of("a"), NodeId.of("b"), NodeId.of("c"));
    public final VirtualTimeLoop loop = new VirtualTimeLoop();
    public final EventJournal journal = new EventJournal(loop, 100);
    public final ItemStore items = new ItemStore(loop, journal);
    public final ConfigurationView configuration = new ConfigurationView(items);
    public final Set<NodeId> deaf = new HashSet<>();
    /** These confirm frames, but do not vote. */
    public final Set<NodeId> mute = new HashSet<>();

    public final List<Item> written = new ArrayList<>();
    /** What the electors hold and this node does not. */
    public final List<ChosenItem> news = new ArrayList<>();

    public final VotingConfiguration votingConfiguration = VotingConfiguration.of(new Quorum(ALL, Set.of()));
    public final ViewSynchronizer view = new ViewSynchronizer(
            votingConfiguration,
            loop,
            this,
            items,
            org.rowanvalve.common.model.LeaseTimings.DEFAULT,
            journal,
            items::merge,
            e -> {});
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
    /** Time until an answer, in ms. */
    public long answerMs = 1;

    /** Questions of either kind that are not answered yet, and the most of them at a time for one elector. */
    public final Map<NodeId, Integer> openQueries = new HashMap<>();

    public int mostOpenQueries;
    private final Map<NodeId, Map<ItemId, Register>> memory = new HashMap<>();
    private long tags;

    public String tag() {
        return "t" + ++tags;
    }

    /** The frame is confirmed from now on, as long as a majority answers. */
    public void confirm() {
        view.start();
        loop.run(310);
    }

    public void put(final ItemId id, final long ver, final Object body) {
        items.merge(new ChosenItem(
                Ballot.ZERO, new Item(id, new org.rowanvalve.common.model.Version(ver), Json.write(body), false, "")));
    }

    @Override
    public void request(final NodeId recipient, final Message msg, final long wait, final Consumer<Reply> then) {
        final boolean vote = msg instanceof PrepareRequest || msg instanceof AcceptRequest;
        if (deaf.contains(recipient) || vote && mute.contains(recipient)) {
            loop.schedule(wait, () -> then.accept(Reply.failed(Reply.Failure.NO_RESPONSE)));
        } else {
            countQuery(recipient, msg, 1);
            loop.schedule(answerMs, () -> {
                countQuery(recipient, msg, -1);
                then.accept(Reply.of(answer(recipient, msg)));
            });
        }
    }

    private void countQuery(final NodeId recipient, final Message msg, final int change) {
        if (msg instanceof DigestRequest || msg instanceof MissingItemsRequest) {
            mostOpenQueries = Math.max(mostOpenQueries, openQueries.merge(recipient, change, Integer::sum));
        }
    }

    private Message answer(final NodeId who, final Message msg) {
        final Map<ItemId, Register> mine = memory.computeIfAbsent(who, k -> new HashMap<>());
        if (msg instanceof PrepareRequest p) {
            final Register s = mine.getOrDefault(p.id(), new Register(Ballot.ZERO, Ballot.ZERO, Item.none(p.id())));
            final boolean ok = p.ballot().isAbove(s.promisedBallot());
            if (ok) {
                mine.put(p.id(), new Register(p.ballot(), s.acceptedBallot(), s.item()));
            }
            return new PrepareResponse(ok, ok ? p.ballot() : s.promisedBallot(), s.acceptedBallot(), s.item());
        }
        if (msg instanceof AcceptRequest a) {
            mine.put(a.item().id(), new Register(a.ballot(), a.ballot(), a.item()));
            written.add(a.item());
            return new AcceptResponse(true, a.ballot());
        }
        if (msg instanceof MissingItemsRequest) {
            return new MissingItemsResponse(news, true, List.of());
        }
        return msg instanceof DigestRequest
                ? new DigestResponse(news.isEmpty(), java.util.Collections.nCopies(ItemDigest.BUCKETS, 1L))
                : new AckResponse();
    }
}
