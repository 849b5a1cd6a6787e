package org.rowanvalve.data.node;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.LearnNotification;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.Member;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.config.ConfigurationView;
import org.rowanvalve.control.consensus.Proposer;
import org.rowanvalve.control.membership.ClockSkewMonitor;
import org.rowanvalve.control.membership.Membership;
import org.rowanvalve.control.operator.ConfigurationService;
import org.rowanvalve.control.operator.OriginRegistry;
import org.rowanvalve.control.operator.UpdateService;
import org.rowanvalve.control.store.ItemStore;
import org.rowanvalve.control.view.ViewSynchronizer;
import org.rowanvalve.control.voting.StoreHealth;
import org.rowanvalve.control.voting.VotingConfiguration;
import org.rowanvalve.control.voting.VotingSetSearch;
import org.rowanvalve.data.settings.NodeSettings;

/**
 * The components of every node, whatever its role: the learned items, the view of them, membership, and the services
 * that write items.
 */
final class CoreComponents {
    final VotingConfiguration votingConfiguration;
    final ItemStore items;
    final ConfigurationView configuration;
    final ClockSkewMonitor clockSkew;
    final StoreHealth storeHealth;
    final Membership membership;
    final ViewSynchronizer viewSynchronizer;
    final VotingSetSearch votingSetSearch;
    final VoterLinks voterLinks;
    final Proposer proposer;
    final ConfigurationService configurationService;
    final UpdateService updateService;
    final OriginRegistry originRegistry;
    private final NodeSettings settings;

    /**
     * Creates the components without starting them.
     *
     * @param self supplies the current description of this node
     * @param learner receives each chosen item
     */
    CoreComponents(
            final NodeSettings settings,
            final Node.Runtime runtime,
            final EventJournal journal,
            final Supplier<Member> self,
            final Consumer<ChosenItem> learner) {
        this.settings = settings;
        final EventLoop loop = runtime.loop();
        final Transport transport = runtime.transport();
        final NodeId ownId = settings.self().id();
        final String incarnation = settings.self().incarnation();
        votingConfiguration = new VotingConfiguration(settings.quorum(), settings.foundingVoters());
        votingConfiguration.addListener(() -> voterLinks().updateAddresses(runtime.addressBook()));
        votingConfiguration.connectPeers(
                learner, (recipient, set) -> transport.send(List.of(recipient), new LearnNotification(List.of(set))));
        items = new ItemStore(loop, journal);
        votingConfiguration.followStore(items);
        configuration = new ConfigurationView(items);
        clockSkew = new ClockSkewMonitor(settings.timings());
        storeHealth = new StoreHealth(settings.quorum(), loop, journal);
        membership = new Membership(
                self,
                () -> voterLinks().heartbeatTargets(),
                loop,
                transport,
                settings.timings(),
                journal,
                runtime.addressBook(),
                clockSkew,
                () -> items.all().size(),
                storeHealth);
        viewSynchronizer = new ViewSynchronizer(
                votingConfiguration,
                loop,
                transport,
                items,
                settings.timings(),
                journal,
                learner,
                membership::recordContact);
        viewSynchronizer.onConfirmation(configuration::onConfirmed);
        votingSetSearch = new VotingSetSearch(
                ownId,
                votingConfiguration,
                loop,
                transport,
                settings.seeds(),
                membership::ids,
                viewSynchronizer::isFresh);
        voterLinks = new VoterLinks(settings, votingConfiguration, membership, votingSetSearch);
        proposer = new Proposer(
                ownId,
                incarnation,
                votingConfiguration,
                loop,
                transport,
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
                transport,
                items,
                viewSynchronizer,
                proposer,
                journal,
                writeIds,
                () -> voterLinks.updateSequencer(items.get(ItemId.LEADERSHIP)),
                settings.updateLimits());
        originRegistry = new OriginRegistry(loop, items, viewSynchronizer, proposer, journal, writeIds);
    }

    /** Lets lambdas read the field before it is assigned; they run only after construction. */
    private VoterLinks voterLinks() {
        return voterLinks;
    }

    void start() {
        membership.start();
        viewSynchronizer.start();
    }

    /** Starts the search for a later voting set if the settings allow voters to change. */
    void startVotingSetSearch() {
        if (settings.votersMayChange()) {
            votingSetSearch.start();
        }
    }
}
