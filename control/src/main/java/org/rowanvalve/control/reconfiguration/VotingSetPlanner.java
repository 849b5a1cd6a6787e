package org.rowanvalve.control.reconfiguration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.IntSupplier;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.StandbyPrepareRequest;
import org.rowanvalve.common.message.StandbyPrepareResponse;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.Member;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.NodeStatus;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.consensus.Proposer;
import org.rowanvalve.control.election.LeaderElection;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.membership.Membership;
import org.rowanvalve.control.view.ViewSynchronizer;
import org.rowanvalve.control.voting.VoterAddress;
import org.rowanvalve.control.voting.VotingConfiguration;
import org.rowanvalve.control.voting.VotingSet;

/**
 * Maintains the voting set at its target size; runs on the leader only. Each change replaces, adds or removes one voter:
 * a voter that is leaving or has been silent for too long is replaced by a standby. A change is chosen by ballot of the
 * voting set that it replaces.
 */
public final class VotingSetPlanner {
    /** Silence after which a voter is replaced. */
    public static final long SILENCE_TIMEOUT_MILLIS = 2500;

    private static final long INTERVAL_MS = 100;
    private static final long WRITE_TIMEOUT_MILLIS = 1000;
    private static final long STANDBY_TIMEOUT_MILLIS = 800;
    /** The interval at which the next standby is prepared while no change is due. */
    private static final long STANDBY_REFRESH_MS = 2000;
    /** The minimum time between two changes of the size only, and from an election to such a change. */
    private static final long MIN_CHANGE_INTERVAL_MS = 2000;
    /** How long the next change waits for voters that have not answered in the present epoch yet. */
    private static final long JOIN_TIMEOUT_MILLIS = 3000;
    /** A standby must have been known for this time, with its last heartbeat more recent than this. */
    private static final long SETTLED_MS = 1000;

    private final NodeId self;
    private final VotingConfiguration votingConfiguration;
    private final Membership membership;
    private final ViewSynchronizer view;
    private final Proposer proposer;
    private final EventLoop loop;
    private final Transport transport;
    private final EventJournal journal;
    private final IntSupplier toleratedLosses;
    private final Comparator<Member> leastSharedFirst;
    private LeaderElection election;
    private long term = -1;
    private long electedAt;
    private long lastChangeAt;
    private long standbyRefreshedAt;
    private boolean changing;

    /** A change of the voting set; {@code removed} or {@code added} may be null. */
    record SetChange(NodeId removed, NodeId added, String reason) {}

    /** {@code toleratedLosses}: the number of simultaneous voter failures to tolerate; 0 keeps the size of the set. */
    public VotingSetPlanner(
            final NodeId self,
            final VotingConfiguration votingConfiguration,
            final Membership membership,
            final ViewSynchronizer view,
            final Proposer proposer,
            final EventLoop loop,
            final Transport transport,
            final EventJournal journal,
            final IntSupplier toleratedLosses) {
        this.self = self;
        this.votingConfiguration = votingConfiguration;
        this.membership = membership;
        this.view = view;
        this.proposer = proposer;
        this.loop = loop;
        this.transport = transport;
        this.journal = journal;
        this.toleratedLosses = toleratedLosses;
        this.leastSharedFirst = Comparator.comparingLong((Member member) -> voters(member, Member::location))
                .thenComparingLong(member -> voters(member, VotingSetPlanner::region))
                .thenComparing(Member::id);
    }

    /** Starts the periodic check for changes that are due; changes are made only while this node is the leader. */
    public void start(final LeaderElection leaderElection) {
        election = leaderElection;
        votingConfiguration.addListener(() -> lastChangeAt = loop.now());
        loop.scheduleRepeatedly(INTERVAL_MS, this::tick);
    }

    private static String region(final Member member) {
        return member.location().substring(0, member.location().lastIndexOf('/') + 1);
    }

    /** The number of present voters that are in the same place as the member; {@code place} gives a location or region. */
    private long voters(final Member member, final Function<Member, String> place) {
        return votingConfiguration.voters().stream()
                .map(membership::get)
                .filter(voter -> voter != null && place.apply(voter).equals(place.apply(member)))
                .count();
    }

    private void tick() {
        if (!election.isLeader()) {
            term = -1;
            return;
        }
        if (election.term() != term) {
            term = election.term();
            electedAt = loop.now();
        }
        if (!changing && view.isFresh() && view.isConfirmedInEpoch()) {
            nextChange().ifPresentOrElse(this::prepareChange, this::refreshStandby);
        }
    }

    /** Prepares the standby that would be used for the next change, so that a later change takes less time. */
    private void refreshStandby() {
        if (loop.now() - standbyRefreshedAt >= STANDBY_REFRESH_MS) {
            standbyRefreshedAt = loop.now();
            standbys().stream()
                    .findFirst()
                    .ifPresent(standby -> transport.request(
                            standby,
                            new StandbyPrepareRequest(votingConfiguration.epoch()),
                            STANDBY_TIMEOUT_MILLIS,
                            reply -> votingConfiguration.isEpochMismatch(standby, reply)));
        }
    }

    /** The next change, if one is due and the voters of the present set have answered in its epoch. */
    Optional<SetChange> nextChange() {
        final List<NodeId> leaving = votingConfiguration.voters().stream()
                .filter(voter -> !voter.equals(self) && condition(voter) == NodeStatus.DRAINING)
                .toList();
        final List<NodeId> lost =
                votingConfiguration.voters().stream().filter(this::isLost).toList();
        if (loop.now() - lastChangeAt < JOIN_TIMEOUT_MILLIS && !allJoined(leaving, lost)) {
            return Optional.empty();
        }
        final List<NodeId> standbys = standbys();
        if (!leaving.isEmpty() || !lost.isEmpty()) {
            final NodeId removed = leaving.isEmpty() ? lost.get(0) : leaving.get(0);
            final String reason = leaving.isEmpty() ? "silent" : "leaving";
            return standbys.isEmpty()
                    ? shrinkBy(removed, reason)
                    : Optional.of(new SetChange(removed, standbys.get(0), reason));
        }
        final boolean isSettled =
                loop.now() - lastChangeAt >= MIN_CHANGE_INTERVAL_MS && loop.now() - electedAt >= MIN_CHANGE_INTERVAL_MS;
        return isSettled && votingConfiguration.voters().size() < wantedSize(standbys.size()) && !standbys.isEmpty()
                ? Optional.of(new SetChange(null, standbys.get(0), "size"))
                : Optional.empty();
    }

    /** Without a standby, one voter of an even number is removed, since the majority of the rest is one voter smaller. */
    private Optional<SetChange> shrinkBy(final NodeId leaving, final String reason) {
        final int size = votingConfiguration.voters().size();
        return size > 2 && size % 2 == 0 ? Optional.of(new SetChange(leaving, null, reason)) : Optional.empty();
    }

    /**
     * The number of voters needed to tolerate the configured losses: an odd number, and at most the number of voters and
     * standbys.
     */
    private int wantedSize(final int standbys) {
        final int available = votingConfiguration.voters().size() + standbys;
        final int largestOdd = available % 2 == 0 ? available - 1 : available;
        return toleratedLosses.getAsInt() == 0 ? 0 : Math.min(2 * toleratedLosses.getAsInt() + 1, largestOdd);
    }

    /** Whether every voter that is neither leaving nor lost has answered in the present epoch. */
    private boolean allJoined(final List<NodeId> leaving, final List<NodeId> lost) {
        return votingConfiguration.voters().stream()
                .allMatch(voter -> view.hasConfirmed(voter) || leaving.contains(voter) || lost.contains(voter));
    }

    private NodeStatus condition(final NodeId id) {
        final Member member = membership.get(id);
        return member == null ? NodeStatus.UNREADY : member.status();
    }

    /**
     * Whether the voter has been silent for too long. Silence is measured from the last heartbeat or, for a voter that
     * is not a known member, from the election of this leader.
     */
    private boolean isLost(final NodeId id) {
        if (id.equals(self) || loop.now() - electedAt < SETTLED_MS) {
            return false;
        }
        final long silence = membership.silenceMs(id);
        return Math.min(silence, membership.get(id) == null ? loop.now() - electedAt : silence)
                >= SILENCE_TIMEOUT_MILLIS;
    }

    private List<NodeId> standbys() {
        return membership.liveMembers(Role.SHIELD).stream()
                .filter(member -> !votingConfiguration.isVoter(member.id()))
                .filter(member -> member.status() != NodeStatus.DRAINING && member.status() != NodeStatus.UNREADY)
                .filter(member -> membership.silenceMs(member.id()) < SETTLED_MS
                        && membership.knownForMs(member.id()) >= SETTLED_MS)
                .sorted(leastSharedFirst)
                .map(Member::id)
                .toList();
    }

    /** Has the standby prepared before the change is written, so that the voting set is unavailable only briefly. */
    private void prepareChange(final SetChange change) {
        changing = true;
        journal.add(Event.of(
                EventCode.VOTERS_PROPOSED,
                "epoch",
                votingConfiguration.epoch() + 1,
                "out",
                String.valueOf(change.removed()),
                "in",
                String.valueOf(change.added()),
                "why",
                change.reason()));
        if (change.added() == null) {
            writeChange(change);
            return;
        }
        transport.request(
                change.added(),
                new StandbyPrepareRequest(votingConfiguration.epoch()),
                STANDBY_TIMEOUT_MILLIS,
                reply -> {
                    votingConfiguration.isEpochMismatch(change.added(), reply);
                    if (reply.as(StandbyPrepareResponse.class)
                                    .filter(StandbyPrepareResponse::ready)
                                    .isPresent()
                            && election.isLeader()) {
                        writeChange(change);
                    } else {
                        changing = false;
                        journal.add(Event.of(
                                EventCode.STANDBY_LATE, "node", change.added().text()));
                    }
                });
    }

    private void writeChange(final SetChange change) {
        final long epoch = votingConfiguration.epoch();
        final List<String> present =
                votingConfiguration.voters().stream().map(this::address).toList();
        final List<String> next = new ArrayList<>();
        votingConfiguration.voters().stream()
                .filter(voter -> !voter.equals(change.removed()))
                .map(this::address)
                .forEach(next::add);
        if (change.added() != null) {
            next.add(address(change.added()));
        }
        final String body = Json.write(new VotingSet(next, present));
        final String writeId = "voters-" + self + "-" + term + "-" + (epoch + 1) + "-" + loop.now();
        proposer.propose(
                ItemId.VOTERS,
                writeId,
                WRITE_TIMEOUT_MILLIS,
                current -> current.version().number() == epoch
                        ? Optional.of(current.successor(body, writeId))
                        : Optional.empty(),
                reply -> {
                    changing = false;
                    journal.add(Event.of(
                            EventCode.VOTERS_WRITTEN,
                            "epoch",
                            epoch + 1,
                            "fate",
                            reply.status().name()));
                });
    }

    private String address(final NodeId id) {
        final Member member = membership.get(id);
        return votingConfiguration.addresses().stream()
                .filter(address -> VoterAddress.parse(address).id().equals(id))
                .findFirst()
                .orElseGet(() -> new VoterAddress(
                                id, member == null ? "0.0.0.0" : member.host(), member == null ? 0 : member.port())
                        .toString());
    }
}
