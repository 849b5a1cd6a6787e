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

/** A lease holder of one shard, with real record replicas on virtual time, and the keyed requests submitted to it. */
abstract class KeyedHolderFixture {
    private static final NodeId LEADER = NodeId.of("leader");
    static final int SHARD = 3;
    static final FencingToken TOKEN = new FencingToken(1, 1);
    static final NodeId A = NodeId.of("a");
    static final NodeId B = NodeId.of("b");
    static final NodeId C = NodeId.of("c");
    final RecordReplicasFixture replicas = new RecordReplicasFixture();
    final LeaseHolder leases = startHolder(TOKEN);
    final List<RequestOutcome> outcomes = new ArrayList<>();
    final List<ForwardResponse> responses = new ArrayList<>();
    int sentCount;
    /** The shields that a holder asks for the attempts of other processes. */
    List<NodeId> otherShields = List.of();

    /** Starts a holder whose lease is granted by a leader that acknowledges every renewal. */
    LeaseHolder startHolder(final FencingToken token) {
        final EventJournal journal = replicas.journal;
        final ItemStore items = new ItemStore(replicas.loop, journal);
        final LeaseHolder holder = new LeaseHolder(
                replicas.loop,
                (recipient, message, timeoutMs, callback) -> {
                    if (message instanceof LeaseRenewRequest) {
                        replicas.loop.schedule(
                                1,
                                () -> callback.accept(Reply.of(new LeaseRenewResponse(
                                        1,
                                        true,
                                        List.of(new ShardLease(SHARD, token, LeaseState.GRANTED)),
                                        List.of()))));
                    }
                },
                items,
                LeaseTimings.DEFAULT,
                journal,
                () -> true,
                List::of,
                (shard, reason, grace, done) -> done.accept(true));
        holder.start();
        items.merge(new ChosenItem(
                new Ballot(1, "x"),
                Item.none(ItemId.LEADERSHIP)
                        .successor(Json.write(new Leadership("leader", "b", 1, 1, false, 0, 0, 0)), "t")));
        replicas.loop.run(100);
        holder.onGrant(
                LEADER,
                new LeaseGrantRequest(1, 1, List.of(new ShardLease(SHARD, token, LeaseState.GRANTED))),
                response -> {});
        return holder;
    }

    /** Grants the shard to the first holder once more, under a higher token. */
    void grantAgain(final FencingToken token) {
        leases.onGrant(
                LEADER,
                new LeaseGrantRequest(1, 1, List.of(new ShardLease(SHARD, token, LeaseState.GRANTED))),
                response -> {});
    }

    KeyedRequests newKeyedRequests(final String process) {
        return newKeyedRequests(process, leases);
    }

    KeyedRequests newKeyedRequests(final String process, final LeaseHolder holder) {
        return new KeyedRequests(
                replicas.votingConfiguration,
                replicas.loop,
                replicas,
                holder,
                replicas.journal,
                new StoreHealth(replicas.votingConfiguration.quorum(), replicas.loop, replicas.journal),
                process,
                RecordReplicasFixture.RETENTION,
                () -> otherShields);
    }

    void submit(final KeyedRequests target, final String key, final long maxWaitMs) {
        submit(target, key, maxWaitMs, Cancellation.NEVER);
    }

    void submit(final KeyedRequests target, final String key, final long maxWaitMs, final Cancellation cancellation) {
        target.handle(
                new KeyedRequest(SHARD, key, "d".repeat(64), ""),
                maxWaitMs,
                cancellation,
                callback -> {
                    sentCount++;
                    final OriginTransport.OriginResponse response = new OriginTransport.OriginResponse(
                            OriginTransport.ExchangeResult.COMPLETE, 201, Map.of(), new byte[] {7}, "");
                    replicas.loop.schedule(
                            5, () -> callback.accept(new OriginDispatcher.Completion(response, true, 0, 0)));
                },
                response -> {
                    outcomes.add(response.fate());
                    responses.add(response);
                });
    }
}
