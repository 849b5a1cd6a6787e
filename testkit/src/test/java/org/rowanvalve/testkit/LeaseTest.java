package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.Ballot;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Reply;
import org.rowanvalve.common.Timing;
import org.rowanvalve.common.Token;
import org.rowanvalve.control.Holder;
import org.rowanvalve.control.ItemStore;
import org.rowanvalve.control.Json;
import org.rowanvalve.control.Leadership;
import org.rowanvalve.testkit.sim.World;

/** The holder's side of the lease rules, on virtual time with an authority played by hand. */
class LeaseTest {
    private static final NodeId BOSS = NodeId.of("st1");
    private final World world = new World(1);
    private final Loop loop = world.loop();
    private final List<Consumer<Reply>> renewals = new ArrayList<>();
    private final List<Long> sent = new ArrayList<>();
    private final List<String> stops = new ArrayList<>();
    private final Journal journal = new Journal(loop, 500);
    private Holder holder;
    private long stopTakes;

    @BeforeEach
    void begin() {
        final ItemStore held = new ItemStore(loop, journal);
        final Net net = (to, msg, wait, then) -> {
            if (msg instanceof Msg.Renew) {
                final boolean[] over = {false};
                final Consumer<Reply> once = r -> {
                    if (!over[0]) {
                        over[0] = true;
                        then.accept(r);
                    }
                };
                renewals.add(once);
                sent.add(world.now());
                world.in(wait, () -> once.accept(Reply.lost(Reply.Trouble.NO_ANSWER)));
            }
        };
        holder = new Holder(loop, net, held, Timing.DEFAULT, journal, () -> true, List::of, (shard, grace, done) -> {
            stops.add(shard + "@" + world.now());
            world.in(stopTakes, () -> done.accept(true));
        });
        holder.start();
        held.merge(new Msg.Chosen(
                new Ballot(1, "x"),
                Item.none(ItemId.TENURE).next(Json.text(new Leadership("st1", "b", 1, 1, false, 0, 0, 0)), "t")));
        world.run(100);
        holder.place(BOSS, new Msg.Place(1, 1, List.of(new Msg.Claim(3, new Token(1, 1), "GRANTED"))), m -> {});
    }

    private void answer(final int n) {
        renewals.get(n)
                .accept(Reply.of(
                        new Msg.Renewed(1, true, List.of(new Msg.Claim(3, new Token(1, 1), "GRANTED")), List.of())));
    }

    @Test
    void aNewGrantIsUncertainUntilItsRenewIsAnswered() {
        assertEquals(1, renewals.size(), "the grant makes the holder renew at once");
        assertFalse(holder.may(3));
        assertEquals(Holder.State.UNCERTAIN, holder.leases().get(3).state());
        answer(0);
        assertTrue(holder.may(3));
    }

    @Test
    void validityCountsFromTheSendTimeOfTheAnsweredRenewalMinusM() {
        world.run(100 + 400);
        answer(0);
        final long from = sent.get(0);
        world.run(from + 1999);
        assertTrue(holder.leases().get(3).state() != Holder.State.EXPIRED);
        world.run(from + 2050);
        assertEquals(Holder.State.EXPIRED, holder.leases().get(3).state());
        assertEquals(1, stops.size());
    }

    @Test
    void anUnansweredRenewalMakesItUncertainAndNoFillStarts() {
        answer(0);
        world.run(1100);
        assertEquals(2, renewals.size());
        assertTrue(holder.may(3));
        world.run(1900);
        assertEquals(Holder.State.UNCERTAIN, holder.leases().get(3).state());
        assertFalse(holder.may(3));
        assertTrue(holder.serves(3), "what is cached is still served");
        answer(renewals.size() - 1);
        assertTrue(holder.may(3));
    }

    @Test
    void anAnswerThatComesAfterItsOwnValidityGivesNothing() {
        world.run(100 + 450);
        final int first = renewals.size();
        world.run(2300);
        assertTrue(first >= 1);
        answer(0);
        assertFalse(holder.may(3));
    }

    @Test
    void aLowerTokenIsRejectedAndARevokedOneIsNotTakenUpAgain() {
        answer(0);
        holder.place(BOSS, new Msg.Place(1, 2, List.of(new Msg.Claim(3, new Token(1, 2), "GRANTED"))), m -> {});
        assertFalse(holder.may(3), "a higher token is a new grant");
        holder.place(BOSS, new Msg.Place(1, 2, List.of(new Msg.Claim(3, new Token(1, 1), "GRANTED"))), m -> {});
        assertEquals(new Token(1, 2), holder.token(3));
        assertTrue(journal.tail().stream().anyMatch(e -> e.event().code() == Code.GRANT_REJECTED));
        holder.revoke(BOSS, new Msg.Revoke(1, List.of(new Msg.Claim(3, new Token(1, 2), "REVOKED"))), m -> {});
        world.run(world.now() + 10);
        holder.place(BOSS, new Msg.Place(1, 3, List.of(new Msg.Claim(3, new Token(1, 2), "GRANTED"))), m -> {});
        assertEquals(Holder.State.REVOKED, holder.leases().get(3).state());
    }

    /** The right is looked at when the request leaves, not when it came. */
    @Test
    void aSendThatWaitedForItsPaceDoesNotLeaveWithoutTheRight() {
        answer(0);
        final ItemStore own = new ItemStore(loop, journal);
        final org.rowanvalve.control.ConfigView view = new org.rowanvalve.control.ConfigView(own);
        own.merge(new Msg.Chosen(
                new Ballot(1, "x"),
                Item.none(new ItemId(org.rowanvalve.common.Kind.SERVICE, "s"))
                        .next("{\"kind\":\"content\",\"rate\":4,\"bodyLimit\":9,\"cutoffMs\":2000}", "t")));
        own.merge(new Msg.Chosen(
                new Ballot(1, "x"),
                Item.none(new ItemId(org.rowanvalve.common.Kind.ORIGIN, "s1"))
                        .next(
                                Json.text(new org.rowanvalve.control.Origin(
                                        "s", "h", 1, "b", "content", 0, 60_000, false, 1)),
                                "t")));
        final List<String> sent = new ArrayList<>();
        final org.rowanvalve.data.Setup setup = org.rowanvalve.data.Setup.of(new org.rowanvalve.common.Member(
                        NodeId.of("sh1"),
                        org.rowanvalve.common.Role.SHIELD,
                        "c",
                        "127.0.0.1",
                        1,
                        "b",
                        org.rowanvalve.common.Condition.READY,
                        "t"))
                .build();
        final org.rowanvalve.data.Sender sender = new org.rowanvalve.data.Sender(
                setup,
                loop,
                (to, msg, wait, then) -> {},
                (to, what, gate, then) -> {
                    sent.add(what.path());
                    return () -> {};
                },
                view,
                holder,
                new org.rowanvalve.data.Sender.Ties(() -> true, () -> false, List::of, () -> 1),
                journal);
        final List<org.rowanvalve.data.Sender.Sent> ends = new ArrayList<>();
        for (final String path : List.of("/1", "/2")) {
            sender.send(
                    new org.rowanvalve.data.OriginRequest(
                            3,
                            new org.rowanvalve.data.Port.Send("s", "GET", path, "", null, null, "", 0),
                            false,
                            world.now() + 2000),
                    ends::add);
        }
        world.run(world.now() + 260);
        assertEquals(List.of("/1"), sent);
        holder.revoke(BOSS, new Msg.Revoke(1, List.of(new Msg.Claim(3, new Token(1, 1), "REVOKED"))), m -> {});
        world.run(world.now() + 1000);
        assertEquals(List.of("/1"), sent);
        assertEquals("no held right to send", ends.get(0).got().why());
        assertFalse(ends.get(0).ran());
    }

    private org.rowanvalve.data.KeyedRequests once(final int writers, final List<Msg.Note> known) {
        final List<NodeId> keepers = List.of(BOSS, NodeId.of("st2"), NodeId.of("sh1"));
        final Net net = (to, msg, wait, then) -> world.in(1, () -> {
            if (msg instanceof Msg.KeepRead r) {
                then.accept(Reply.of(new Msg.Kept(true, false, r.token(), known, 7, null)));
            } else if (msg instanceof Msg.KeepWrite w) {
                final boolean now = w.era() == 7;
                then.accept(
                        keepers.indexOf(to) < writers
                                ? Reply.of(new Msg.KeepSeen(now, false, !now))
                                : Reply.lost(Reply.Trouble.NO_ANSWER));
            }
        });
        final org.rowanvalve.control.Quorum quorum =
                new org.rowanvalve.control.Quorum(keepers, java.util.Set.of(BOSS, keepers.get(1)));
        return new org.rowanvalve.data.KeyedRequests(
                org.rowanvalve.control.Electorate.of(quorum),
                loop,
                net,
                holder,
                journal,
                new org.rowanvalve.control.StoreHealth(quorum, loop, journal),
                "b",
                new org.rowanvalve.control.RecordRetention(60_000, () -> 0));
    }

    private List<String> keyed(final int writers, final List<Msg.Note> known, final int times) {
        answer(0);
        final org.rowanvalve.data.KeyedRequests once = once(writers, known);
        final List<String> seen = new ArrayList<>();
        for (int i = 0; i < times; i++) {
            once.take(
                    3,
                    "k",
                    "d",
                    1000,
                    then -> {
                        seen.add("sent");
                        then.accept(new org.rowanvalve.data.Sender.Sent(
                                org.rowanvalve.data.Port.Got.none(org.rowanvalve.data.Port.End.LOST, "lost"),
                                true,
                                0,
                                0));
                    },
                    f -> seen.add(f.fate()));
            world.run(world.now() + 100);
        }
        return seen;
    }

    @Test
    void nothingIsSentUnlessTheIntentStandsAtAMajority() {
        assertEquals(List.of("refused"), keyed(1, List.of(), 1));
    }

    @Test
    void aLostAnswerIsUnknownAndTheKeyIsNotSentAgain() {
        assertEquals(List.of("sent", "unknown", "unknown"), keyed(2, List.of(), 2));
    }

    @Test
    void anIntentOfAnEarlierHolderIsUnknownAndNotSent() {
        assertEquals(
                List.of("unknown"), keyed(3, List.of(new Msg.Note("k", 3, new Token(1, 0), "d", 1, false, null)), 1));
    }

    @Test
    void fourHoldersSharesAddUpToTheRateInEveryWindow() {
        final List<Long> sent = new ArrayList<>();
        final org.rowanvalve.data.RateLimiter[] all = {
            new org.rowanvalve.data.RateLimiter(),
            new org.rowanvalve.data.RateLimiter(),
            new org.rowanvalve.data.RateLimiter(),
            new org.rowanvalve.data.RateLimiter()
        };
        for (long t = 0; t < 20_000; t += 5) {
            for (final org.rowanvalve.data.RateLimiter p : all) {
                final java.util.OptionalLong rest = p.take("o", 40, 0.25, 1, t, 0);
                if (rest.isPresent()) {
                    sent.add(t);
                }
            }
        }
        for (final long end : sent) {
            assertTrue(sent.stream().filter(t -> t > end - 5000 && t <= end).count() <= 220, "window up to " + end);
        }
        assertTrue(sent.size() > 700, "and the rate is used: " + sent.size());
    }

    @Test
    void aRevokeIsAnsweredOnlyOnceTheStopIsDone() {
        answer(0);
        stopTakes = 300;
        final List<Msg> back = new ArrayList<>();
        final long from = world.now();
        holder.revoke(BOSS, new Msg.Revoke(1, List.of(new Msg.Claim(3, new Token(1, 1), "REVOKED"))), back::add);
        assertFalse(holder.may(3));
        world.run(from + 299);
        assertEquals(List.of(), back);
        world.run(from + 300);
        assertEquals(List.of(new Msg.Revoked(true, List.of(3))), back);
    }
}
