package org.rowanvalve.data.keyed;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.ForwardResponse;
import org.rowanvalve.common.message.LeaseGrantRequest;
import org.rowanvalve.common.message.LeaseRenewRequest;
import org.rowanvalve.common.message.LeaseRenewResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.message.ShardLease;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.LeaseState;
import org.rowanvalve.common.model.LeaseTimings;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.control.election.Leadership;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.lease.LeaseHolder;
import org.rowanvalve.control.store.ItemStore;
import org.rowanvalve.control.voting.StoreHealth;
import org.rowanvalve.data.cancel.Cancellation;
import org.rowanvalve.data.origin.OriginDispatcher;
import org.rowanvalve.data.origin.OriginTransport;

/** A holder of one shard before real record stores on virtual time, and requests with keys that it takes. */
abstract class KeyedHolderFixture {
    private static final NodeId BOSS = NodeId.of("boss");
    static final int SHARD = 3;
    static final FencingToken TOKEN = new FencingToken(1, 1);
    static final NodeId A = NodeId.of("a");
    static final NodeId B = NodeId.of("b");
    static final NodeId C = NodeId.of("c");
    final RecordKeepersFixture keepers = new RecordKeepersFixture();
    final LeaseHolder leases = holder();
    final List<RequestOutcome> answers = new ArrayList<>();
    final List<ForwardResponse> filled = new ArrayList<>();
    int sent;

    /** One that holds the shard, by an authority that answers every renewal. */
    private LeaseHolder holder() {
        final EventJournal journal = keepers.journal;
        final ItemStore items = new ItemStore(keepers.loop, journal);
        final LeaseHolder h = new LeaseHolder(
                keepers.loop,
                (recipient, msg, wait, then) -> {
                    if (msg instanceof LeaseRenewRequest) {
                        keepers.loop.schedule(
                                1,
                                () -> then.accept(Reply.of(new LeaseRenewResponse(
                                        1,
                                        true,
                                        List.of(new ShardLease(SHARD, TOKEN, LeaseState.GRANTED)),
                                        List.of()))));
                    }
                },
                items,
                LeaseTimings.DEFAULT,
                journal,
                () -> true,
                List::of,
                (shard, grace, done) -> done.accept(true));
        h.start();
        items.merge(new ChosenItem(
                new Ballot(1, "x"),
                Item.none(ItemId.LEADERSHIP)
                        .successor(Json.write(new Leadership("boss", "b", 1, 1, false, 0, 0, 0)), "t")));
        keepers.loop.run(100);
        h.onGrant(
                BOSS, new LeaseGrantRequest(1, 1, List.of(new ShardLease(SHARD, TOKEN, LeaseState.GRANTED))), m -> {});
        return h;
    }

    KeyedRequests desk(final String boot) {
        return new KeyedRequests(
                keepers.votingConfiguration,
                keepers.loop,
                keepers,
                leases,
                keepers.journal,
                new StoreHealth(keepers.votingConfiguration.quorum(), keepers.loop, keepers.journal),
                boot,
                RecordKeepersFixture.RETENTION);
    }

    void take(final KeyedRequests desk, final String key, final long patience) {
        take(desk, key, patience, Cancellation.NEVER);
    }

    void take(final KeyedRequests desk, final String key, final long patience, final Cancellation cancellation) {
        desk.handle(
                SHARD,
                key,
                "d".repeat(64),
                patience,
                cancellation,
                then -> {
                    sent++;
                    final OriginTransport.OriginResponse response = new OriginTransport.OriginResponse(
                            OriginTransport.ExchangeResult.COMPLETE, 201, Map.of(), new byte[] {7}, "");
                    keepers.loop.schedule(5, () -> then.accept(new OriginDispatcher.Completion(response, true, 0, 0)));
                },
                f -> {
                    answers.add(f.fate());
                    filled.add(f);
                });
    }
}
