package org.rowanvalve.data.node;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.model.Member;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.NodeStatus;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.StableStorage;
import org.rowanvalve.common.runtime.StorageException;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.config.ConfigurationView;
import org.rowanvalve.control.consensus.Acceptor;
import org.rowanvalve.control.election.LeaderElection;
import org.rowanvalve.control.lease.LeaseHolder;
import org.rowanvalve.control.membership.ClockSkewMonitor;
import org.rowanvalve.control.membership.Membership;
import org.rowanvalve.control.operator.ConfigurationService;
import org.rowanvalve.control.operator.OriginRegistry;
import org.rowanvalve.control.operator.UpdateService;
import org.rowanvalve.control.record.KeyedRecordStore;
import org.rowanvalve.control.store.ItemStore;
import org.rowanvalve.control.view.ViewSynchronizer;
import org.rowanvalve.control.voting.StoreHealth;
import org.rowanvalve.control.voting.VotingConfiguration;
import org.rowanvalve.data.edge.Edge;
import org.rowanvalve.data.origin.OriginDispatcher;
import org.rowanvalve.data.origin.OriginTransport;
import org.rowanvalve.data.settings.NodeSettings;
import org.rowanvalve.data.settings.ReloadableSettings;

/**
 * The control plane and data plane of one process. The programs and the simulator create the same node over different
 * runtimes. Every node has the core components; its role determines the others. All methods must be called in the
 * single thread of the event loop.
 */
public final class Node {
    private final NodeSettings settings;
    private final EventLoop loop;
    private final EventJournal journal;
    private final CoreComponents core;
    private final Optional<VoterComponents> voter;
    private final Optional<LeaderComponents> leader;
    private final Optional<ShieldComponents> shield;
    private final Optional<EdgeComponents> edge;
    private final NodeStatusMonitor statusMonitor;
    private final GracefulShutdown shutdown;
    private final FreezeDetector freezeDetector;
    private final MessageRouter messageRouter;

    /** The environment that a node runs in. {@code addressBook} receives the addresses of members. */
    public record Runtime(
            EventLoop loop,
            Transport transport,
            StableStorage storage,
            OriginTransport originTransport,
            Random random,
            LongSupplier wallClock,
            Consumer<Member> addressBook) {}

    public Node(final NodeSettings settings, final Runtime runtime, final EventJournal journal) {
        this.settings = settings;
        this.loop = runtime.loop();
        this.journal = journal;
        final Member self = settings.self();
        journal.add(Event.of(
                EventCode.STARTED, "node", self.id().text(), "role", self.role().label(), "boot", self.incarnation()));
        core = new CoreComponents(settings, runtime, journal, this::ownMember, this::learn);
        voter = settings.mayVote()
                ? Optional.of(new VoterComponents(settings, runtime, core, journal))
                : Optional.empty();
        leader = settings.isLeaderEligible()
                ? Optional.of(new LeaderComponents(settings, runtime, core, this::mayLead, this::resumptions, journal))
                : Optional.empty();
        shield = settings.hasRole(Role.SHIELD)
                ? Optional.of(new ShieldComponents(settings, runtime, core, journal))
                : Optional.empty();
        edge = settings.hasRole(Role.EDGE)
                ? Optional.of(new EdgeComponents(settings, runtime, core, journal))
                : Optional.empty();
        statusMonitor = new NodeStatusMonitor(this, () -> shutdown().isStarted());
        shutdown = new GracefulShutdown(this);
        freezeDetector = new FreezeDetector(
                loop,
                runtime.wallClock(),
                settings.timings(),
                core.clockSkew,
                journal,
                core.viewSynchronizer::reset,
                this::dropLeases);
        messageRouter = new MessageRouter(this, this::learn);
        if (settings.votingSet() != null) {
            learn(settings.votingSet());
        }
    }

    /** Lets lambdas read the field before it is assigned; they run only after construction. */
    private GracefulShutdown shutdown() {
        return shutdown;
    }

    private boolean mayLead() {
        return core.viewSynchronizer.isFresh()
                && !core.clockSkew.exceedsBound()
                && voter.map(components -> core.voterLinks.mayLead(components.acceptor()))
                        .orElse(!settings.votersMayChange());
    }

    private long resumptions() {
        return voter.map(components -> components.acceptor().resumptions()).orElse(0L);
    }

    /** Reads the node's state from disk and starts all components. */
    public void start() throws StorageException {
        if (voter.isPresent()) {
            voter.get().start();
            core.updateService.start(Math.max(
                    0, votingConfiguration().voters().indexOf(settings.self().id())));
        }
        core.start();
        leader.ifPresent(LeaderComponents::start);
        shield.ifPresent(components -> components.leaseHolder().start());
        freezeDetector.start();
        core.startVotingSetSearch();
    }

    private void dropLeases() {
        shield.ifPresent(components -> components.leaseHolder().expireAll());
        leader.ifPresent(components -> components.election().abandon());
    }

    private void learn(final ChosenItem chosen) {
        final boolean collected = core.items
                .collectionFloor()
                .covers(chosen.item().id(), chosen.item().version().number());
        if (!collected) {
            voter.ifPresent(components -> components.acceptor().learn(chosen));
        }
        core.items.merge(chosen);
    }

    /**
     * Replaces the seeds that this node asks for the current voters. The caller must already have passed the addresses
     * to the transport. Must be called in the event loop.
     */
    public void updateSeeds(final Map<NodeId, InetSocketAddress> seeds) {
        core.votingSetSearch.seeds(List.copyOf(seeds.keySet()));
    }

    private Member ownMember() {
        return settings.self().withStatus(status());
    }

    public NodeStatus status() {
        return statusMonitor.current();
    }

    /** Returns the readiness from 0 to 100, by which a platform can choose between nodes. */
    public int readinessScore() {
        return statusMonitor.readinessScore();
    }

    /**
     * Handles a message from another node and passes the response, if any, to {@code callback}. Must be called in the
     * event loop.
     */
    public void handle(final NodeId from, final Message message, final Transport.Responder callback) {
        messageRouter.route(from, message, callback);
    }

    /**
     * Shuts the node down gracefully: it accepts no new clients, stops the fills of its shards and hands the shards over,
     * and resigns leadership.
     */
    public void shutDown(final long timeoutMs, final Runnable callback) {
        shutdown.start(timeoutMs, callback);
        if (votingConfiguration().isVoter(settings.self().id())) {
            core.membership.announce();
        }
    }

    public VotingConfiguration votingConfiguration() {
        return core.votingConfiguration;
    }

    /** Applies settings that changed while this node runs. Must be called in the event loop. */
    public void reload(final ReloadableSettings next) {
        settings.reloadable().set(next);
        core.viewSynchronizer.timings(next.timings());
        dispatcher().ifPresent(OriginDispatcher::reload);
    }

    public NodeSettings settings() {
        return settings;
    }

    public UpdateService updateService() {
        return core.updateService;
    }

    public OriginRegistry originRegistry() {
        return core.originRegistry;
    }

    public ConfigurationService configurationService() {
        return core.configurationService;
    }

    /** Returns the edge component; fails on a node that is not an edge. */
    public Edge edge() {
        return edge.orElseThrow().edge();
    }

    public ItemStore items() {
        return core.items;
    }

    public ConfigurationView configuration() {
        return core.configuration;
    }

    public StoreHealth storeHealth() {
        return core.storeHealth;
    }

    public ViewSynchronizer viewSynchronizer() {
        return core.viewSynchronizer;
    }

    public Membership membership() {
        return core.membership;
    }

    /** Returns the lease holder; fails on a node that is not a shield. */
    public LeaseHolder leaseHolder() {
        return shield.orElseThrow().leaseHolder();
    }

    /** Returns the election; fails on a node for which {@link NodeSettings#isLeaderEligible} is false. */
    public LeaderElection election() {
        return leader.orElseThrow().election();
    }

    /** Returns the acceptor; fails on a node for which {@link NodeSettings#mayVote} is false. */
    public Acceptor acceptor() {
        return voter.orElseThrow().acceptor();
    }

    /** Returns the records of keyed requests; fails on a node for which {@link NodeSettings#mayVote} is false. */
    public KeyedRecordStore keyedRecords() {
        return voter.orElseThrow().keyedRecords();
    }

    public ClockSkewMonitor clockSkew() {
        return core.clockSkew;
    }

    public EventJournal journal() {
        return journal;
    }

    public EventLoop loop() {
        return loop;
    }

    Optional<VoterComponents> voter() {
        return voter;
    }

    Optional<LeaderComponents> leader() {
        return leader;
    }

    Optional<ShieldComponents> shield() {
        return shield;
    }

    Optional<EdgeComponents> edgeComponents() {
        return edge;
    }

    /** Returns the dispatcher of requests to origins, which only shields and edges have. */
    Optional<OriginDispatcher> dispatcher() {
        return shield.map(ShieldComponents::dispatcher).or(() -> edge.map(EdgeComponents::dispatcher));
    }
}
