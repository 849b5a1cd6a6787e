package org.rowanvalve.data.node;

import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.StorageException;
import org.rowanvalve.control.consensus.Acceptor;
import org.rowanvalve.control.consensus.MonitoredStorage;
import org.rowanvalve.control.consensus.UnfinishedWriteRecovery;
import org.rowanvalve.control.record.KeyedRecordStore;
import org.rowanvalve.control.record.RecordRetention;
import org.rowanvalve.control.store.ItemStore;
import org.rowanvalve.control.view.ViewServer;
import org.rowanvalve.data.settings.NodeSettings;

/**
 * The components of a node that is a voter or may become one: the acceptor, the records of keyed requests, the recovery
 * of unfinished writes, and the server of views.
 */
final class VoterComponents {
    private static final long COLLECTION_INTERVAL_MS = 1000;
    private final EventLoop loop;
    private final ItemStore items;
    private final Acceptor acceptor;
    private final KeyedRecordStore keyedRecords;
    private final UnfinishedWriteRecovery writeRecovery;
    private final ViewServer viewServer;

    VoterComponents(
            final NodeSettings settings,
            final Node.Runtime runtime,
            final CoreComponents core,
            final EventJournal journal) {
        loop = runtime.loop();
        items = core.items;
        final NodeId ownId = settings.self().id();
        final String incarnation = settings.self().incarnation();
        final MonitoredStorage storage = new MonitoredStorage(runtime.storage(), loop);
        acceptor = new Acceptor(
                ownId,
                core.votingConfiguration,
                loop,
                runtime.transport(),
                storage,
                journal,
                incarnation,
                settings.firstBoot(),
                () -> !core.membership.itemsReported());
        keyedRecords = new KeyedRecordStore(
                ownId,
                incarnation,
                core.votingConfiguration,
                runtime.transport(),
                loop,
                runtime.wallClock(),
                storage,
                journal,
                new RecordRetention(settings.keyWindowMs(), core.configuration::longestKeyedTimeoutMs));
        writeRecovery = new UnfinishedWriteRecovery(
                acceptor,
                items,
                core.proposer,
                loop,
                runtime.random(),
                () -> core.votingConfiguration.voters().indexOf(ownId),
                journal);
        viewServer = new ViewServer(acceptor, items, loop);
    }

    void start() throws StorageException {
        acceptor.onStateRebuilt(() -> items.all().forEach(acceptor::learn));
        acceptor.prefillItems(items::all);
        acceptor.connectRecords(keyedRecords);
        keyedRecords.start();
        acceptor.start();
        writeRecovery.start();
        loop.scheduleRepeatedly(COLLECTION_INTERVAL_MS, () -> acceptor.collect(items.collectionFloor()));
    }

    Acceptor acceptor() {
        return acceptor;
    }

    KeyedRecordStore keyedRecords() {
        return keyedRecords;
    }

    ViewServer viewServer() {
        return viewServer;
    }
}
