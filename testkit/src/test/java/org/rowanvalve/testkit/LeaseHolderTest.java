package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.KeyedRecord;
import org.rowanvalve.common.message.LeaseGrantRequest;
import org.rowanvalve.common.message.LeaseRenewRequest;
import org.rowanvalve.common.message.LeaseRenewResponse;
import org.rowanvalve.common.message.LeaseRevokeRequest;
import org.rowanvalve.common.message.LeaseRevokeResponse;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.RecordReadRequest;
import org.rowanvalve.common.message.RecordReadResponse;
import org.rowanvalve.common.message.RecordWriteRequest;
import org.rowanvalve.common.message.RecordWriteResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.message.ShardLease;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.LeaseState;
import org.rowanvalve.common.model.LeaseTimings;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.config.ServiceKind;
import org.rowanvalve.control.election.Leadership;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.lease.LeaseHolder;
import org.rowanvalve.control.store.ItemStore;
import org.rowanvalve.testkit.sim.VirtualTime;

/** The rules of leases at their holder, on virtual time with a simulated leader. */
class LeaseHolderTest {
    private static final NodeId LEADER = NodeId.of("st1");
    private final VirtualTime time = new VirtualTime(1);
    private final EventLoop loop = time.loop();
    private final List<Consumer<Reply>> renewals = new ArrayList<>();
    private final List<Long> sent = new ArrayList<>();
    private final List<String> stops = new ArrayList<>();
    private final EventJournal journal = new EventJournal(loop, 500);
    private LeaseHolder leases;
    private long stopDurationMs;

    @BeforeEach
    void begin() {
        final ItemStore items = new ItemStore(loop, journal);
        final Transport transport = (recipient, request, timeoutMs, callback) -> {
            if (request instanceof LeaseRenewRequest) {
                final boolean[] completed = {false};
                final Consumer<Reply> once = reply -> {
                    if (!completed[0]) {
                        completed[0] = true;
                        callback.accept(reply);
                    }
                };
                renewals.add(once);
                sent.add(time.now());
                time.in(timeoutMs, () -> once.accept(Reply.failed(Reply.Failure.NO_RESPONSE)));
            }
        };
        leases = new LeaseHolder(
                loop,
                transport,
                items,
                LeaseTimings.DEFAULT,
                journal,
                () -> true,
                List::of,
                (shard, reason, grace, done) -> {
                    stops.add(shard + "@" + time.now());
                    time.in(stopDurationMs, () -> done.accept(true));
                });
        leases.start();
        items.merge(new ChosenItem(
                new Ballot(1, "x"),
                Item.none(ItemId.LEADERSHIP)
                        .successor(Json.write(new Leadership("st1", "b", 1, 1, false, 0, 0, 0)), "t")));
        time.run(100);
        leases.onGrant(
                LEADER,
                new LeaseGrantRequest(1, 1, List.of(new ShardLease(3, new FencingToken(1, 1), LeaseState.GRANTED))),
                m -> {});
    }

    private void answer(final int index) {
        renewals.get(index)
                .accept(Reply.of(new LeaseRenewResponse(
                        1, true, List.of(new ShardLease(3, new FencingToken(1, 1), LeaseState.GRANTED)), List.of())));
    }

    @Test
    void aNewGrantIsUncertainUntilARenewalIsAnswered() {
        assertEquals(1, renewals.size(), "the holder renews a granted lease immediately");
        assertFalse(leases.mayFill(3));
        assertEquals(LeaseState.UNCERTAIN, leases.leases().get(3).state());
        answer(0);
        assertTrue(leases.mayFill(3));
    }

    @Test
    void validityCountsFromTheSendTimeOfTheAnsweredRenewalMinusM() {
        time.run(100 + 400);
        answer(0);
        final long from = sent.get(0);
        time.run(from + 1999);
        assertTrue(leases.leases().get(3).state() != LeaseState.EXPIRED);
        time.run(from + 2050);
        assertEquals(LeaseState.EXPIRED, leases.leases().get(3).state());
        assertEquals(1, stops.size());
    }

    @Test
    void anUnansweredRenewalMakesTheLeaseUncertainAndPreventsFills() {
        answer(0);
        time.run(1100);
        assertEquals(2, renewals.size());
        assertTrue(leases.mayFill(3));
        time.run(1900);
        assertEquals(LeaseState.UNCERTAIN, leases.leases().get(3).state());
        assertFalse(leases.mayFill(3));
        assertTrue(leases.mayServe(3), "cached responses are still served");
        answer(renewals.size() - 1);
        assertTrue(leases.mayFill(3));
    }

    @Test
    void aRenewalAnsweredAfterTheEndOfItsValidityIsIgnored() {
        time.run(100 + 450);
        final int first = renewals.size();
        time.run(2300);
        assertTrue(first >= 1);
        answer(0);
        assertFalse(leases.mayFill(3));
    }

    @Test
    void grantsWithALowerOrRevokedTokenAreRejected() {
        answer(0);
        leases.onGrant(
                LEADER,
                new LeaseGrantRequest(1, 2, List.of(new ShardLease(3, new FencingToken(1, 2), LeaseState.GRANTED))),
                m -> {});
        assertFalse(leases.mayFill(3), "a higher token is a new grant");
        leases.onGrant(
                LEADER,
                new LeaseGrantRequest(1, 2, List.of(new ShardLease(3, new FencingToken(1, 1), LeaseState.GRANTED))),
                m -> {});
        assertEquals(new FencingToken(1, 2), leases.token(3));
        assertTrue(journal.recent().stream().anyMatch(entry -> entry.event().code() == EventCode.GRANT_REJECTED));
        leases.onRevoke(
                LEADER,
                new LeaseRevokeRequest(1, List.of(new ShardLease(3, new FencingToken(1, 2), LeaseState.REVOKED))),
                m -> {});
        time.run(time.now() + 10);
        leases.onGrant(
                LEADER,
                new LeaseGrantRequest(1, 3, List.of(new ShardLease(3, new FencingToken(1, 2), LeaseState.GRANTED))),
                m -> {});
        assertEquals(LeaseState.REVOKED, leases.leases().get(3).state());
    }

    /** The lease is checked when the request is sent, not only when it arrives. */
    @Test
    void aRequestDelayedByTheRateLimitIsNotSentAfterARevocation() {
        answer(0);
        final ItemStore items = new ItemStore(loop, journal);
        final org.rowanvalve.control.config.ConfigurationView configuration =
                new org.rowanvalve.control.config.ConfigurationView(items);
        items.merge(new ChosenItem(
                new Ballot(1, "x"),
                Item.none(new ItemId(org.rowanvalve.common.model.ItemKind.SERVICE, "s"))
                        .successor("{\"kind\":\"content\",\"rate\":4,\"bodyLimit\":9,\"cutoffMs\":2000}", "t")));
        items.merge(new ChosenItem(
                new Ballot(1, "x"),
                Item.none(new ItemId(org.rowanvalve.common.model.ItemKind.ORIGIN, "s1"))
                        .successor(
                                Json.write(new org.rowanvalve.control.config.Origin(
                                        "s", "h", 1, "b", ServiceKind.CONTENT, 0, 60_000, false, 1)),
                                "t")));
        final List<String> sentPaths = new ArrayList<>();
        final org.rowanvalve.data.settings.NodeSettings settings = org.rowanvalve.data.settings.NodeSettings.builderFor(
                        new org.rowanvalve.common.model.Member(
                                NodeId.of("sh1"),
                                org.rowanvalve.common.model.Role.SHIELD,
                                "c",
                                "127.0.0.1",
                                1,
                                "b",
                                org.rowanvalve.common.model.NodeStatus.READY,
                                "t"))
                .build();
        final org.rowanvalve.data.origin.OriginDispatcher dispatcher = new org.rowanvalve.data.origin.OriginDispatcher(
                settings,
                loop,
                (recipient, request, timeoutMs, callback) -> {},
                (origin, request, gate, callback) -> {
                    sentPaths.add(request.path());
                    return () -> {};
                },
                configuration,
                leases,
                new org.rowanvalve.data.origin.OriginDispatcher.ClusterView(() -> true, () -> false, List::of, () -> 1),
                journal);
        final List<org.rowanvalve.data.origin.OriginDispatcher.Completion> completions = new ArrayList<>();
        for (final String path : List.of("/1", "/2")) {
            dispatcher.send(
                    new org.rowanvalve.data.origin.OriginRequest(
                            3,
                            new org.rowanvalve.data.origin.OriginTransport.OutboundRequest(
                                    "s", "GET", path, "", null, null, "", 0),
                            false,
                            time.now() + 2000),
                    completions::add);
        }
        time.run(time.now() + 260);
        assertEquals(List.of("/1"), sentPaths);
        leases.onRevoke(
                LEADER,
                new LeaseRevokeRequest(1, List.of(new ShardLease(3, new FencingToken(1, 1), LeaseState.REVOKED))),
                m -> {});
        time.run(time.now() + 1000);
        assertEquals(List.of("/1"), sentPaths);
        assertEquals("no held right to send", completions.get(0).response().reason());
        assertFalse(completions.get(0).mayHaveRun());
    }

    private org.rowanvalve.data.keyed.KeyedRequests keyedRequests(
            final int respondingReplicas, final List<KeyedRecord> known) {
        final List<NodeId> replicas = List.of(LEADER, NodeId.of("st2"), NodeId.of("sh1"));
        final Transport transport = (recipient, request, timeoutMs, callback) -> time.in(1, () -> {
            if (request instanceof RecordReadRequest read) {
                callback.accept(Reply.of(new RecordReadResponse(true, false, read.token(), known, 7, null)));
            } else if (request instanceof RecordWriteRequest write) {
                final boolean sameEra = write.era() == 7;
                callback.accept(
                        replicas.indexOf(recipient) < respondingReplicas
                                ? Reply.of(new RecordWriteResponse(sameEra, false, !sameEra))
                                : Reply.failed(Reply.Failure.NO_RESPONSE));
            } else {
                callback.accept(Reply.failed(Reply.Failure.NO_RESPONSE));
            }
        });
        final org.rowanvalve.control.voting.Quorum quorum =
                new org.rowanvalve.control.voting.Quorum(replicas, java.util.Set.of(LEADER, replicas.get(1)));
        return new org.rowanvalve.data.keyed.KeyedRequests(
                org.rowanvalve.control.voting.VotingConfiguration.of(quorum),
                loop,
                transport,
                leases,
                journal,
                new org.rowanvalve.control.voting.StoreHealth(quorum, loop, journal),
                "b",
                new org.rowanvalve.control.record.RecordRetention(60_000, () -> 0),
                List::of);
    }

    private List<String> keyed(final int respondingReplicas, final List<KeyedRecord> known, final int attempts) {
        answer(0);
        final org.rowanvalve.data.keyed.KeyedRequests keyedRequests = keyedRequests(respondingReplicas, known);
        final List<String> events = new ArrayList<>();
        for (int i = 0; i < attempts; i++) {
            keyedRequests.handle(
                    new org.rowanvalve.data.keyed.KeyedRequest(3, "k", "d", ""),
                    1000,
                    org.rowanvalve.data.cancel.Cancellation.NEVER,
                    callback -> {
                        events.add("sent");
                        callback.accept(new org.rowanvalve.data.origin.OriginDispatcher.Completion(
                                org.rowanvalve.data.origin.OriginTransport.OriginResponse.failure(
                                        org.rowanvalve.data.origin.OriginTransport.ExchangeResult.LOST, "lost"),
                                true,
                                0,
                                0));
                    },
                    response -> events.add(response.fate().code()));
            time.run(time.now() + 100);
        }
        return events;
    }

    @Test
    void nothingIsSentUnlessAMajorityStoresTheIntent() {
        assertEquals(List.of("refused"), keyed(1, List.of(), 1));
    }

    @Test
    void aLostResponseIsUnknownAndTheKeyIsNotSentAgain() {
        assertEquals(List.of("sent", "unknown", "unknown"), keyed(2, List.of(), 2));
    }

    @Test
    void anIntentOfAnEarlierHolderIsUnknownAndNotSent() {
        assertEquals(
                List.of("unknown"),
                keyed(3, List.of(new KeyedRecord("k", 3, new FencingToken(1, 0), "d", 1, false, null)), 1));
    }

    @Test
    void fourHoldersSharesAddUpToTheRateInEveryWindow() {
        final List<Long> sent = new ArrayList<>();
        final org.rowanvalve.data.limit.RateLimiter[] limiters = {
            new org.rowanvalve.data.limit.RateLimiter(),
            new org.rowanvalve.data.limit.RateLimiter(),
            new org.rowanvalve.data.limit.RateLimiter(),
            new org.rowanvalve.data.limit.RateLimiter()
        };
        for (long t = 0; t < 20_000; t += 5) {
            for (final org.rowanvalve.data.limit.RateLimiter limiter : limiters) {
                final java.util.OptionalLong permit = limiter.take("o", 40, 0.25, 1, t, 0);
                if (permit.isPresent()) {
                    sent.add(t);
                }
            }
        }
        for (final long end : sent) {
            assertTrue(sent.stream().filter(t -> t > end - 5000 && t <= end).count() <= 220, "window up to " + end);
        }
        assertTrue(sent.size() > 700, "the rate is used: " + sent.size());
    }

    /**
     * Guards against a planned move that breaks off what origins work on: once the response is given nothing more may be
     * sent, and no fill that was sent is stopped.
     */
    @Test
    void aRevocationIsAnsweredOnceNothingMoreMayBeSentAndStopsNothingThatWasSent() {
        answer(0);
        final List<Message> responses = new ArrayList<>();
        leases.onRevoke(
                LEADER,
                new LeaseRevokeRequest(1, List.of(new ShardLease(3, new FencingToken(1, 1), LeaseState.REVOKED))),
                response -> {
                    assertFalse(leases.mayFill(3));
                    responses.add(response);
                });
        assertEquals(List.of(new LeaseRevokeResponse(true, List.of(3))), responses);
        assertEquals(1, fencedEvents(), "the next holder's first fill comes after it");
        answer(renewals.size() - 1);
        time.run(time.now() + 5000);
        assertFalse(leases.mayFill(3), "nor by an answer to an earlier renewal");
        assertEquals(List.of(), stops);
    }

    /** What a lost lease ends by force is not spared by a revocation that comes meanwhile. */
    @Test
    void aRevocationOfAnExpiredLeaseIsAnsweredOnlyAfterTheFillsHaveStopped() {
        answer(0);
        stopDurationMs = 300;
        time.run(sent.get(sent.size() - 1) + 2050);
        assertEquals(LeaseState.EXPIRED, leases.leases().get(3).state());
        final List<Message> responses = new ArrayList<>();
        final long from = time.now();
        leases.onRevoke(
                LEADER,
                new LeaseRevokeRequest(1, List.of(new ShardLease(3, new FencingToken(1, 1), LeaseState.REVOKED))),
                responses::add);
        time.run(from + 299);
        assertEquals(List.of(), responses);
        time.run(from + 300);
        assertEquals(List.of(new LeaseRevokeResponse(true, List.of(3))), responses);
    }

    private long fencedEvents() {
        return journal.recent().stream()
                .filter(entry -> entry.event().code() == EventCode.FENCED)
                .count();
    }
}
