package org.rowanvalve.data.node;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.LearnNotification;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.ShardDemand;
import org.rowanvalve.common.model.ItemId;
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
import org.rowanvalve.control.consensus.Proposer;
import org.rowanvalve.control.election.LeaderElection;
import org.rowanvalve.control.lease.LeaseHolder;
import org.rowanvalve.control.lease.LeaseManager;
import org.rowanvalve.control.membership.ClockSkewMonitor;
import org.rowanvalve.control.membership.Membership;
import org.rowanvalve.control.operator.ConfigurationService;
import org.rowanvalve.control.operator.OriginRegistry;
import org.rowanvalve.control.operator.TombstoneCollector;
import org.rowanvalve.control.operator.UpdateService;
import org.rowanvalve.control.reconfiguration.VotingSetPlanner;
import org.rowanvalve.control.record.KeyedRecordStore;
import org.rowanvalve.control.record.RecordRetention;
import org.rowanvalve.control.store.ItemStore;
import org.rowanvalve.control.view.ViewSynchronizer;
import org.rowanvalve.control.voting.StoreHealth;
import org.rowanvalve.control.voting.VotingConfiguration;
import org.rowanvalve.control.voting.VotingSetSearch;
import org.rowanvalve.data.edge.Edge;
import org.rowanvalve.data.edge.MembershipRouting;
import org.rowanvalve.data.keyed.KeyedRequests;
import org.rowanvalve.data.origin.OriginDispatcher;
import org.rowanvalve.data.origin.OriginTransport;
import org.rowanvalve.data.settings.NodeSettings;
import org.rowanvalve.data.settings.ReloadableSettings;
import org.rowanvalve.data.shield.Shield;

/** One process's planes put together over its seams; the programs and the simulator build the same. */
public final class Node {
    /** One that has been silent for so long is not asked to put orders in order. */
    private final NodeSettings settings;

    private final EventLoop loop;
    private final EventJournal journal;
    private final VotingConfiguration votingConfiguration;
    private final ItemStore items;
    private final ConfigurationView configuration;
    private final ViewSynchronizer viewSynchronizer;
    private final StoreHealth storeHealth;
    private final ClockSkewMonitor clockSkew;
    private final Membership membership;
    private final Proposer proposer;
    private final ConfigurationService configurationService;
    private final VoterComponents voterComponents;
    private final MessageRouter messageRouter;
    private final UpdateService updateService;
    private final OriginRegistry originRegistry;
    private final LeaderElection election;
    private final LeaseManager leaseManager;
    private final LeaseHolder leaseHolder;
    private final OriginDispatcher dispatcher;
    private final Shield shield;
    private final Edge edge;
    private final GracefulShutdown shutdown;
    private final FreezeDetector freezeDetector;
    private final VotingSetSearch votingSetSearch;
    private final VoterLinks voterLinks;
    private final NodeStatusMonitor statusMonitor;
    private final VotingSetPlanner votingSetPlanner;

    /** The outside of a node. {@code addressBook} learns where members can be reached. */
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
        final NodeId ownId = settings.self().id();
        final String incarnation = settings.self().incarnation();
        journal.add(Event.of(
                EventCode.STARTED,
                "node",
                ownId.text(),
                "role",
                settings.self().role().label(),
                "boot",
                incarnation));
        votingConfiguration = new VotingConfiguration(settings.quorum(), settings.foundingVoters());
        votingConfiguration.addListener(() -> voterLinks().updateAddresses(runtime.addressBook()));
        votingConfiguration.connectPeers(
                this::learn,
                (recipient, set) -> runtime.transport().send(List.of(recipient), new LearnNotification(List.of(set))));
        items = new ItemStore(loop, journal);
        votingConfiguration.followStore(items);
        configuration = new ConfigurationView(items);
        clockSkew = new ClockSkewMonitor(settings.timings());
        storeHealth = new StoreHealth(settings.quorum(), loop, journal);
        membership = new Membership(
                this::ownMember,
                () -> voterLinks().heartbeatTargets(),
                loop,
                runtime.transport(),
                settings.timings(),
                journal,
                runtime.addressBook(),
                clockSkew,
                () -> items.all().size(),
                storeHealth);
        viewSynchronizer = new ViewSynchronizer(
                votingConfiguration,
                loop,
                runtime.transport(),
                items,
                settings.timings(),
                journal,
                this::learn,
                membership::recordContact);
        votingSetSearch = new VotingSetSearch(
                ownId,
                votingConfiguration,
                loop,
                runtime.transport(),
                settings.seeds(),
                membership::ids,
                viewSynchronizer::isFresh);
        voterLinks = new VoterLinks(settings, votingConfiguration, membership, votingSetSearch);
        proposer = new Proposer(
                ownId,
                incarnation,
                votingConfiguration,
                loop,
                runtime.transport(),
                runtime.random(),
                journal,
                items,
                membership::ids,
                storeHealth);
        final Supplier<String> writeIds = () -> "t-" + ownId + "-" + incarnation + "-"
                + Long.toHexString(runtime.random().nextLong());
        configurationService = new ConfigurationService(loop, items, viewSynchronizer, proposer, journal, writeIds);
        updateService = new UpdateService(
                loop,
                runtime.transport(),
                items,
                viewSynchronizer,
                proposer,
                writeIds,
                () -> voterLinks.updateSequencer(items.get(ItemId.LEADERSHIP)));
        originRegistry = new OriginRegistry(loop, items, viewSynchronizer, proposer, journal, writeIds);
        voterComponents = settings.mayVote()
                ? new VoterComponents(
                        settings, runtime, votingConfiguration, items, configuration, membership, proposer, journal)
                : null;
        final boolean mayLead = settings.arbitrates();
        leaseManager = mayLead
                ? new LeaseManager(
                        loop,
                        runtime.transport(),
                        proposer,
                        membership,
                        settings.timings(),
                        journal,
                        settings.shards(),
                        membership::isClockSound,
                        settings)
                : null;
        election = mayLead
                ? new LeaderElection(
                        ownId,
                        incarnation,
                        loop,
                        proposer,
                        items,
                        settings.timings(),
                        journal,
                        () -> viewSynchronizer.isFresh() && !clockSkew.exceedsBound() && voterLinks.mayLead(acceptor()),
                        leaseManager::onElected,
                        () -> voterComponents == null ? 0 : acceptor().resumptions())
                : null;
        final boolean isShield = settings.hasRole(Role.SHIELD);
        leaseHolder = isShield
                ? new LeaseHolder(
                        loop,
                        runtime.transport(),
                        items,
                        settings.timings(),
                        journal,
                        () -> !clockSkew.exceedsBound(),
                        this::drainDemand,
                        this::stopFills)
                : null;
        dispatcher = isShield || settings.hasRole(Role.EDGE)
                ? new OriginDispatcher(
                        settings,
                        loop,
                        runtime.transport(),
                        runtime.originTransport(),
                        configuration,
                        leaseHolder,
                        new OriginDispatcher.Surroundings(
                                viewSynchronizer::isFresh,
                                () -> MembershipRouting.alone(settings, membership, votingConfiguration),
                                isShield ? voterLinks::otherShields : List::of,
                                () -> Math.max(1, membership.knownCount(Role.EDGE)),
                                () -> membership.knownCount(Role.SHIELD)),
                        journal)
                : null;
        shield = isShield
                ? new Shield(
                        loop,
                        runtime.transport(),
                        configuration,
                        leaseHolder,
                        dispatcher,
                        new KeyedRequests(
                                votingConfiguration,
                                loop,
                                runtime.transport(),
                                leaseHolder,
                                journal,
                                storeHealth,
                                ownId + "#" + incarnation,
                                new RecordRetention(settings.keyWindowMs(), configuration::longestKeyedTimeoutMs)),
                        viewSynchronizer::isFresh,
                        viewSynchronizer::poll,
                        settings,
                        settings.cacheBytes())
                : null;
        edge = settings.hasRole(Role.EDGE)
                ? new Edge(
                        loop,
                        runtime.transport(),
                        configuration,
                        viewSynchronizer::isFresh,
                        settings.shards(),
                        journal,
                        settings.cacheBytes(),
                        new MembershipRouting(settings, membership, votingConfiguration, dispatcher))
                : null;
        votingSetPlanner = mayLead && settings.votersMayChange()
                ? new VotingSetPlanner(
                        ownId,
                        votingConfiguration,
                        membership,
                        viewSynchronizer,
                        proposer,
                        loop,
                        runtime.transport(),
                        journal,
                        () -> settings.reloadable().get().toleratedLosses())
                : null;
        statusMonitor = new NodeStatusMonitor(this, dispatcher, () -> shutdown().isStarted());
        shutdown = new GracefulShutdown(this, edge, dispatcher);
        freezeDetector = new FreezeDetector(
                loop,
                runtime.wallClock(),
                settings.timings(),
                clockSkew,
                journal,
                viewSynchronizer::reset,
                this::dropLeases);
        messageRouter = new MessageRouter(
                this,
                voterComponents == null ? null : voterComponents.viewServer(),
                leaseManager,
                dispatcher,
                shield,
                this::learn);
        if (settings.votingSet() != null) {
            learn(settings.votingSet());
        }
    }

    private VoterLinks voterLinks() {
        return voterLinks;
    }

    private GracefulShutdown shutdown() {
        return shutdown;
    }

    private List<ShardDemand> drainDemand() {
        return dispatcher.drainDemand();
    }

    private void stopFills(final int shard, final long grace, final Consumer<Boolean> done) {
        dispatcher.stop(shard, grace, done);
    }

    public void start() throws StorageException {
        if (voterComponents != null) {
            voterComponents.start();
            updateService.start(Math.max(
                    0, votingConfiguration.voters().indexOf(settings.self().id())));
        }
        membership.start();
        viewSynchronizer.start();
        if (election != null) {
            election.start();
            new TombstoneCollector(loop, items, proposer, election::isLeader).start();
            leaseManager.start(election);
            if (votingSetPlanner != null) {
                votingSetPlanner.start(election);
            }
        }
        if (leaseHolder != null) {
            leaseHolder.start();
        }
        freezeDetector.start();
        if (settings.votersMayChange()) {
            votingSetSearch.start();
        }
    }

    private void dropLeases() {
        if (leaseHolder != null) {
            leaseHolder.dropAll();
        }
        if (election != null) {
            election.abandon();
        }
    }

    private void learn(final ChosenItem chosen) {
        if (voterComponents != null
                && !items.collectionFloor()
                        .covers(chosen.item().id(), chosen.item().version().number())) {
            acceptor().learn(chosen);
        }
        items.merge(chosen);
    }

    /**
     * Seeds of changed settings are asked for the present voters from now on; whoever calls this has told the net their
     * addresses. In the core thread.
     */
    public void updateSeeds(final Map<NodeId, InetSocketAddress> seeds) {
        votingSetSearch.seeds(List.copyOf(seeds.keySet()));
    }

    private Member ownMember() {
        return settings.self().with(status());
    }

    public NodeStatus status() {
        return statusMonitor.current();
    }

    /** How ready, from 0 to 100, so that a platform can pick by it. */
    public int readinessScore() {
        return statusMonitor.readinessScore();
    }

    public void handle(final NodeId from, final Message message, final Consumer<Message> callback) {
        messageRouter.route(from, message, callback);
    }

    /** Orderly: no new callers, shards handed over while the fence is confirmed, tenure given back. */
    public void shutDown(final long timeoutMs, final Runnable callback) {
        shutdown.start(timeoutMs, callback);
        if (votingConfiguration.isVoter(settings.self().id())) {
            membership.announce();
        }
    }

    public VotingConfiguration votingConfiguration() {
        return votingConfiguration;
    }

    /** Takes settings that changed while this node runs; in the core thread. */
    public void reload(final ReloadableSettings next) {
        settings.reloadable().set(next);
        viewSynchronizer.timings(next.timings());
        if (dispatcher != null) {
            dispatcher.reload();
        }
    }

    public NodeSettings settings() {
        return settings;
    }

    public UpdateService updateService() {
        return updateService;
    }

    public OriginRegistry originRegistry() {
        return originRegistry;
    }

    public ConfigurationService configurationService() {
        return configurationService;
    }

    public Edge edge() {
        return edge;
    }

    public ItemStore items() {
        return items;
    }

    public ConfigurationView configuration() {
        return configuration;
    }

    public StoreHealth storeHealth() {
        return storeHealth;
    }

    public ViewSynchronizer viewSynchronizer() {
        return viewSynchronizer;
    }

    public Membership membership() {
        return membership;
    }

    public LeaseHolder leaseHolder() {
        return leaseHolder;
    }

    public LeaderElection election() {
        return election;
    }

    public Acceptor acceptor() {
        return voterComponents == null ? null : voterComponents.acceptor();
    }

    public KeyedRecordStore keyedRecords() {
        return voterComponents == null ? null : voterComponents.keyedRecords();
    }

    public ClockSkewMonitor clockSkew() {
        return clockSkew;
    }

    public EventJournal journal() {
        return journal;
    }

    public EventLoop loop() {
        return loop;
    }
}
