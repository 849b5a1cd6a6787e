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
 * Failure detection: every node sends heartbeats to the voters, which answer with the member list and how long each
 * member has been silent.
 */
public final class Membership {
    /** Shields that get heartbeats as well, so that their silence is seen at first hand. */
    private static final int EXTRA_SHIELDS = 3;

    private static final int FEW_SHIELDS = 8;
    private static final long CONTACT_TIMEOUT_MILLIS = 1000;
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

    /** Reports a change of this node to the voters at once. */
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
     * Where there are many shields, they get heartbeats only while no seed answers, and not all nodes choose the same
     * ones.
     */
    private List<NodeId> extraRecipients() {
        final List<NodeId> list = liveMembers(Role.SHIELD).stream()
                .map(Member::id)
                .filter(noted -> !voters.get().contains(noted))
                .toList();
        if (list.size() <= FEW_SHIELDS) {
            return list.stream().limit(EXTRA_SHIELDS).toList();
        }
        return hasVoterContact()
                ? List.of()
                : list.stream()
                        .sorted(Comparator.comparingLong(
                                noted -> Hash.hash64(ownMember().id() + "/" + noted)))
                        .limit(EXTRA_SHIELDS)
                        .toList();
    }

    /** The digest is for a seed that has not answered with its list yet. */
    private void sendHeartbeat(final NodeId seed, final Member ownMember) {
        final long sent = loop.now();
        final SeedMemberView view = seedViews.computeIfAbsent(seed, k -> new SeedMemberView());
        final long roll = view.listId().isEmpty() ? memberDigest() : 0;
        transport.request(
                seed,
                new HeartbeatRequest(ownMember, sent, itemCount.getAsInt(), roll, view.listId(), view.lastChange()),
                450,
                row -> row.as(HeartbeatResponse.class)
                        .ifPresentOrElse(
                                response -> {
                                    storeHealth.recordContact(seed);
                                    lastContactAt = voters.get().contains(seed) ? loop.now() : lastContactAt;
                                    clockSkew.addSample(seed, sent, loop.now(), response.clockMs());
                                    if (response.listId() != null) {
                                        view.apply(response, this::onReport);
                                    } else {
                                        response.reports().forEach(this::onReport);
                                    }
                                },
                                () -> storeHealth.recordMissed(seed, sent)));
    }

    /** What never changes about this node while it runs. */
    private Member ownMember() {
        ownIdentity = ownIdentity == null ? self.get() : ownIdentity;
        return ownIdentity;
    }

    private void onReport(final Member member, final long silence) {
        if (silence <= timings.failureTimeoutMs()
                && !member.id().equals(ownMember().id())) {
            record(member, loop.now() - silence);
        }
    }

    private void onReport(final MemberReport report) {
        final Member member = report.member() != null ? report.member() : get(report.id());
        if (member != null) {
            onReport(member.with(report.status()), report.silenceMs());
        }
    }

    /** Two nodes with the same digest know the same members at the same addresses. */
    private long memberDigest() {
        return liveMembers().stream()
                .mapToLong(member -> Hash.hash64(member.with(NodeStatus.READY).toString()))
                .reduce(0, (a, request) -> a ^ request);
    }

    /** Whether any node has said that it holds items. */
    public boolean itemsReported() {
        return itemsReported || itemCount.getAsInt() > 0;
    }

    /** Whether this node's heartbeats prove no drift of half of M or more. */
    public boolean isClockSound(final NodeId id) {
        return heartbeatClocks.provenSkewMs(id) < timings.marginMs() / 2;
    }

    /** Records a heartbeat and responds with what the sender lacks of the member list. */
    public void onHeartbeat(final HeartbeatRequest request, final Consumer<Message> back) {
        heartbeatClocks.addSample(request.member().id(), loop.now(), request.clockMs());
        record(request.member(), loop.now());
        itemsReported |= request.itemCount() > 0;
        final long now = loop.now();
        if (request.listId() != null) {
            final String list = ownMember().incarnation();
            final List<MembershipChange> changed =
                    table.changesSince(request.listId().equals(list) ? request.sinceChange() : 0, now);
            back.accept(new HeartbeatResponse(
                    null, now, list, table.lastChange(), changed, table.coreSilences(now), table.edgeSilences(now)));
            return;
        }
        final boolean same = request.memberDigest() == memberDigest();
        back.accept(new HeartbeatResponse(
                liveMembers().stream()
                        .map(member -> new MemberReport(
                                member.id(), silenceMs(member.id()), member.status(), same ? null : member))
                        .toList(),
                now,
                null,
                0,
                null,
                null,
                null));
    }

    private void record(final Member member, final long heardAt) {
        final MemberTable.Noted noted = table.record(member, heardAt, loop.now());
        if (noted.appeared()) {
            journal.add(Event.of(
                    EventCode.MEMBER_SEEN,
                    "node",
                    member.id().text(),
                    "role",
                    member.role().label(),
                    "cell",
                    member.location()));
        }
        if (noted.addressChanged()) {
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

    /** Called when anything was received from this node. */
    public void recordContact(final NodeId id) {
        table.recordContact(id, loop.now());
    }

    /** How many of a role were ever heard of. */
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

    /** Time since this node was last heard from, in ms; {@link Long#MAX_VALUE} for one never heard from. */
    public long silenceMs(final NodeId id) {
        final MemberTable.Row row = table.get(id);
        return row == null ? Long.MAX_VALUE : loop.now() - row.heardAt();
    }

    public List<NodeId> ids() {
        return table.all().stream().map(row -> row.member().id()).toList();
    }

    /** The member of this name, or null where it was never heard from. */
    public Member get(final NodeId id) {
        final MemberTable.Row row = table.get(id);
        return row == null ? null : row.member();
    }

    public List<Member> liveMembers(final Role role) {
        return liveMembers().stream().filter(member -> member.role() == role).toList();
    }
}
