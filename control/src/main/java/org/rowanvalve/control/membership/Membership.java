package org.rowanvalve.control.membership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.HeartbeatRequest;
import org.rowanvalve.common.message.HeartbeatResponse;
import org.rowanvalve.common.message.MemberReport;
import org.rowanvalve.common.message.MembershipChange;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.model.Hash;
import org.rowanvalve.common.model.LeaseTimings;
import org.rowanvalve.common.model.Member;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.NodeStatus;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.voting.StoreHealth;

/**
 * Failure detection: every node sends heartbeats to the voters. They respond with the changes of the member list and
 * the time for which each member has been silent.
 */
public final class Membership {
    /**
     * The number of shields that get heartbeats in addition to the voters, so that this node observes them directly.
     */
    private static final int EXTRA_SHIELDS = 3;

    /** Up to this number of shields, extra shields get heartbeats even while a voter responds. */
    private static final int MAX_SHIELDS_FOR_EXTRA_HEARTBEATS = 8;

    private static final long CONTACT_TIMEOUT_MILLIS = 1000;
    private static final long MEMBER_RESPONSE_TIMEOUT_MILLIS = 450;
    private final Supplier<Member> self;
    private final Supplier<List<NodeId>> voters;
    private final EventLoop loop;
    private final Transport transport;
    private final LeaseTimings timings;
    private final EventJournal journal;
    private final Consumer<Member> addressBook;
    private final ClockSkewMonitor clockSkew;
    private final HeartbeatClockMonitor heartbeatClocks;
    private final IntSupplier itemCount;
    private final StoreHealth storeHealth;
    private boolean itemsReported;
    private Member ownIdentity;
    private long lastContactAt = Long.MIN_VALUE / 2;
    private final MemberTable table;
    private final Map<NodeId, SeedMemberView> seedViews = new HashMap<>();

    public Membership(
            final Supplier<Member> self,
            final Supplier<List<NodeId>> voters,
            final EventLoop loop,
            final Transport transport,
            final LeaseTimings timings,
            final EventJournal journal,
            final Consumer<Member> addressBook,
            final ClockSkewMonitor clockSkew,
            final IntSupplier itemCount,
            final StoreHealth storeHealth) {
        this.storeHealth = storeHealth;
        this.itemCount = itemCount;
        this.self = self;
        this.voters = voters;
        this.loop = loop;
        this.transport = transport;
        this.timings = timings;
        this.journal = journal;
        this.addressBook = addressBook;
        this.clockSkew = clockSkew;
        this.heartbeatClocks = new HeartbeatClockMonitor(timings);
        this.table = new MemberTable(timings.failureTimeoutMs());
    }

    public void start() {
        loop.scheduleRepeatedly(timings.heartbeatIntervalMs(), this::sendHeartbeats);
        loop.execute(this::sendHeartbeats);
    }

    /** Sends heartbeats immediately, so that the voters learn of a change of this node. */
    public void announce() {
        sendHeartbeats();
    }

    /** Whether a voter has answered a heartbeat within the time-out. */
    public boolean hasVoterContact() {
        return loop.now() - lastContactAt <= CONTACT_TIMEOUT_MILLIS;
    }

    private void sendHeartbeats() {
        final Member ownMember = self.get();
        record(ownMember, loop.now());
        voters.get().stream()
                .filter(seed -> !seed.equals(ownMember.id()))
                .forEach(seed -> sendHeartbeat(seed, ownMember));
        extraRecipients().stream()
                .filter(seed -> !seed.equals(ownMember.id()))
                .forEach(seed -> sendHeartbeat(seed, ownMember));
        table.collectLost(loop.now()).forEach(id -> journal.add(Event.of(EventCode.MEMBER_LOST, "node", id.text())));
    }

    /**
     * Returns the shields that get heartbeats in addition to the voters. In a network with many shields there are none
     * while a voter responds; otherwise each node selects shields by a hash, so that nodes select different ones.
     */
    private List<NodeId> extraRecipients() {
        final List<NodeId> shields = liveMembers(Role.SHIELD).stream()
                .map(Member::id)
                .filter(shield -> !voters.get().contains(shield))
                .toList();
        if (shields.size() <= MAX_SHIELDS_FOR_EXTRA_HEARTBEATS) {
            return shields.stream().limit(EXTRA_SHIELDS).toList();
        }
        return hasVoterContact()
                ? List.of()
                : shields.stream()
                        .sorted(Comparator.comparingLong(
                                shield -> Hash.hash64(ownMember().id() + "/" + shield)))
                        .limit(EXTRA_SHIELDS)
                        .toList();
    }

    /**
     * Sends a heartbeat, with the digest of the member list only to a seed that has not responded with its list yet.
     */
    private void sendHeartbeat(final NodeId seed, final Member ownMember) {
        final long sentAt = loop.now();
        final SeedMemberView view = seedViews.computeIfAbsent(seed, k -> new SeedMemberView());
        final long digest = view.listId().isEmpty() ? memberDigest() : 0;
        transport.request(
                seed,
                new HeartbeatRequest(ownMember, sentAt, itemCount.getAsInt(), digest, view.listId(), view.lastChange()),
                MEMBER_RESPONSE_TIMEOUT_MILLIS,
                reply -> reply.as(HeartbeatResponse.class)
                        .ifPresentOrElse(
                                response -> {
                                    storeHealth.recordContact(seed);
                                    lastContactAt = voters.get().contains(seed) ? loop.now() : lastContactAt;
                                    clockSkew.addSample(seed, sentAt, loop.now(), response.clockMs());
                                    if (response.listId() != null) {
                                        view.apply(response, this::onReport);
                                    } else {
                                        response.reports().forEach(this::onReport);
                                    }
                                },
                                () -> storeHealth.recordMissed(seed, sentAt)));
    }

    /** Returns this node as a member, for its attributes that never change while it runs. */
    private Member ownMember() {
        ownIdentity = ownIdentity == null ? self.get() : ownIdentity;
        return ownIdentity;
    }

    private void onReport(final Member member, final long silenceMs) {
        if (silenceMs <= timings.failureTimeoutMs()
                && !member.id().equals(ownMember().id())) {
            record(member, loop.now() - silenceMs);
        }
    }

    private void onReport(final MemberReport report) {
        final Member member = report.member() != null ? report.member() : get(report.id());
        if (member != null) {
            onReport(member.withStatus(report.status()), report.silenceMs());
        }
    }

    /** Returns a digest that is equal on two nodes if they know the same members at the same addresses. */
    private long memberDigest() {
        return liveMembers().stream()
                .mapToLong(member ->
                        Hash.hash64(member.withStatus(NodeStatus.READY).toString()))
                .reduce(0, (first, second) -> first ^ second);
    }

    /** Whether any node, including this one, has reported that it stores items. */
    public boolean itemsReported() {
        return itemsReported || itemCount.getAsInt() > 0;
    }

    /** Whether the heartbeats of the node {@code id} prove no drift of half of M or more. */
    public boolean isClockSound(final NodeId id) {
        return heartbeatClocks.provenSkewMs(id) < timings.marginMs() / 2;
    }

    /** Records a heartbeat and responds with the changes of the member list that the sender has not received. */
    public void onHeartbeat(final HeartbeatRequest request, final Consumer<Message> responder) {
        heartbeatClocks.addSample(request.member().id(), loop.now(), request.clockMs());
        record(request.member(), loop.now());
        itemsReported |= request.itemCount() > 0;
        final long now = loop.now();
        if (request.listId() != null) {
            final String listId = ownMember().incarnation();
            final List<MembershipChange> changes =
                    table.changesSince(request.listId().equals(listId) ? request.sinceChange() : 0, now);
            responder.accept(new HeartbeatResponse(
                    null, now, listId, table.lastChange(), changes, table.coreSilences(now), table.edgeSilences(now)));
            return;
        }
        final boolean sameMembers = request.memberDigest() == memberDigest();
        responder.accept(new HeartbeatResponse(
                liveMembers().stream()
                        .map(member -> new MemberReport(
                                member.id(), silenceMs(member.id()), member.status(), sameMembers ? null : member))
                        .toList(),
                now,
                null,
                0,
                null,
                null,
                null));
    }

    private void record(final Member member, final long heardAt) {
        final MemberTable.RecordResult result = table.record(member, heardAt, loop.now());
        if (result.appeared()) {
            journal.add(Event.of(
                    EventCode.MEMBER_SEEN,
                    "node",
                    member.id().text(),
                    "role",
                    member.role().label(),
                    "cell",
                    member.location()));
        }
        if (result.addressChanged()) {
            addressBook.accept(member);
        }
    }

    public List<Member> liveMembers() {
        final long now = loop.now();
        return table.all().stream()
                .filter(row -> table.isAlive(row, now))
                .map(MemberTable.Row::member)
                .toList();
    }

    /** Records that a message was received from this node. */
    public void recordContact(final NodeId id) {
        table.recordContact(id, loop.now());
    }

    /** Returns the number of members of this role that were ever heard from. */
    public int knownCount(final Role role) {
        return (int)
                table.all().stream().filter(row -> row.member().role() == role).count();
    }

    /** Whether this node was heard from within the time-out. */
    public boolean isAlive(final NodeId id) {
        return table.isAlive(table.get(id), loop.now());
    }

    public long knownForMs(final NodeId id) {
        return table.knownForMs(id, loop.now());
    }

    /** Returns the time since this node was last heard from, in ms; {@link Long#MAX_VALUE} if it never was. */
    public long silenceMs(final NodeId id) {
        final MemberTable.Row row = table.get(id);
        return row == null ? Long.MAX_VALUE : loop.now() - row.heardAt();
    }

    public List<NodeId> ids() {
        return table.all().stream().map(row -> row.member().id()).toList();
    }

    /** Returns the member with this id, or null if it was never heard from. */
    public Member get(final NodeId id) {
        final MemberTable.Row row = table.get(id);
        return row == null ? null : row.member();
    }

    public List<Member> liveMembers(final Role role) {
        return liveMembers().stream().filter(member -> member.role() == role).toList();
    }
}
