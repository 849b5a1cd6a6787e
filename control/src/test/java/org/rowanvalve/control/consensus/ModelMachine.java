package org.rowanvalve.control.consensus;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.AcceptRequest;
import org.rowanvalve.common.message.AcceptedChecksumsRequest;
import org.rowanvalve.common.message.AckResponse;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.LearnNotification;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.PrepareRequest;
import org.rowanvalve.common.message.RecordHandoverRequest;
import org.rowanvalve.common.message.RegisterHandoverRequest;
import org.rowanvalve.common.message.RejectedResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.message.StateTransferRequest;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.StableStorage;
import org.rowanvalve.common.runtime.StorageException;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.store.ItemStore;
import org.rowanvalve.control.voting.Quorum;
import org.rowanvalve.control.voting.StoreHealth;
import org.rowanvalve.control.voting.VotingConfiguration;

/** One node of the model. Its disk survives a crash of its process. */
final class ModelMachine implements EventLoop, Transport, StableStorage {
    private static final long SYNC_MS = 30;
    private static final long RESTART_DELAY_MS = 60;
    private final VotingChangeModel model;
    private final NodeId self;
    private final boolean isVoter;
    private final Map<String, byte[]> rows = new HashMap<>();
    private VotingConfiguration votingConfiguration;
    private ItemStore items;
    private Proposer proposer;
    private Optional<Acceptor> voter = Optional.empty();
    private boolean alive;
    private int incarnation;

    ModelMachine(final VotingChangeModel model, final String name, final boolean isVoter) {
        this.model = model;
        this.self = VotingChangeModel.id(name);
        this.isVoter = isVoter;
    }

    void start(final boolean firstStart) {
        alive = true;
        incarnation++;
        final EventJournal journal = new EventJournal(this, 1);
        items = new ItemStore(this, journal);
        final Quorum founding = new Quorum(
                model.scenario().before().stream().map(VotingChangeModel::id).toList(), Set.of());
        votingConfiguration = new VotingConfiguration(
                founding, VotingChangeModel.addresses(model.scenario().before()));
        votingConfiguration.connectPeers(
                this::learn, (recipient, set) -> send(List.of(recipient), new LearnNotification(List.of(set))));
        votingConfiguration.followStore(items);
        final StoreHealth health = new StoreHealth(founding, this, journal);
        proposer = new Proposer(
                self,
                "b" + incarnation,
                votingConfiguration,
                this,
                this,
                new Random(self.hashCode() + incarnation),
                journal,
                items,
                model::nodeIds,
                health);
        if (isVoter) {
            startVoter(firstStart, journal);
        }
    }

    private void startVoter(final boolean firstStart, final EventJournal journal) {
        final Acceptor acceptor = new Acceptor(
                self,
                votingConfiguration,
                this,
                this,
                new MonitoredStorage(this, this),
                journal,
                "b" + incarnation,
                firstStart,
                () -> items.all().isEmpty());
        voter = Optional.of(acceptor);
        acceptor.onStateRebuilt(() -> items.all().forEach(acceptor::learn));
        acceptor.prefillItems(items::all);
        try {
            acceptor.start();
        } catch (final StorageException e) {
            throw new IllegalStateException(e);
        }
        new UnfinishedWriteRecovery(
                        acceptor,
                        items,
                        proposer,
                        this,
                        new Random(self.hashCode() + incarnation),
                        () -> votingConfiguration.voters().indexOf(self),
                        new EventJournal(this, 1),
                        0)
                .start();
    }

    void crash(final boolean wiped) {
        alive = false;
        incarnation++;
        voter = Optional.empty();
        if (wiped) {
            rows.clear();
        }
        model.scheduleAfter(RESTART_DELAY_MS, () -> {
            if (!alive) {
                start(false);
            }
        });
    }

    /** Whether this node answers votes of this epoch. */
    boolean votesIn(final long epoch) {
        return voter.isPresent() && voter.get().isVoting() && votingConfiguration.epoch() == epoch;
    }

    private void learn(final ChosenItem chosen) {
        voter.ifPresent(acceptor -> acceptor.learn(chosen));
        items.merge(chosen);
    }

    @Override
    public long now() {
        return model.now();
    }

    @Override
    public void schedule(final long delayMs, final Runnable task) {
        final int scheduledIn = incarnation;
        model.scheduleAfter(delayMs, () -> {
            if (alive && incarnation == scheduledIn) {
                task.run();
            }
        });
    }

    @Override
    public Map<String, byte[]> load() {
        return new HashMap<>(rows);
    }

    @Override
    public void save(final Map<String, byte[]> changedRows, final Consumer<Boolean> done) {
        schedule(SYNC_MS, () -> {
            changedRows.forEach((key, row) -> {
                if (row == null) {
                    rows.remove(key);
                } else {
                    rows.put(key, row);
                }
            });
            done.accept(true);
        });
    }

    @Override
    public void request(
            final NodeId recipient, final Message message, final long timeoutMs, final Consumer<Reply> callback) {
        final boolean[] completed = new boolean[1];
        final Consumer<Reply> completeOnce = reply -> {
            if (!completed[0]) {
                completed[0] = true;
                callback.accept(reply);
            }
        };
        schedule(timeoutMs, () -> completeOnce.accept(Reply.failed(Reply.Failure.NO_RESPONSE)));
        final int requestedIn = incarnation;
        final ModelMachine peer = model.machine(recipient);
        model.deliver(
                this,
                peer,
                () -> peer.handle(
                        self,
                        message,
                        answer -> model.deliver(peer, this, () -> {
                            if (incarnation == requestedIn) {
                                completeOnce.accept(Reply.of(answer));
                            }
                        })));
    }

    private void handle(final NodeId from, final Message message, final Consumer<Message> callback) {
        if (message instanceof LearnNotification notification) {
            notification.items().forEach(this::learn);
            callback.accept(new AckResponse());
        } else if (voter.isEmpty()) {
            callback.accept(new RejectedResponse("no voter"));
        } else if (message instanceof PrepareRequest request) {
            voter.get().prepare(request, callback);
        } else if (message instanceof AcceptRequest request) {
            voter.get().accept(request, callback);
        } else if (message instanceof AcceptedChecksumsRequest request) {
            voter.get().acceptedChecksums(request, callback);
        } else if (message instanceof StateTransferRequest request) {
            voter.get().transferState(from, request, callback);
        } else if (message instanceof RegisterHandoverRequest request) {
            voter.get().handOverRegisters(from, request, callback);
        } else if (message instanceof RecordHandoverRequest request) {
            voter.get().handOverRecords(from, request, callback);
        }
    }

    NodeId self() {
        return self;
    }

    boolean isVoter() {
        return isVoter;
    }

    boolean alive() {
        return alive;
    }

    int incarnation() {
        return incarnation;
    }

    VotingConfiguration votingConfiguration() {
        return votingConfiguration;
    }

    Proposer proposer() {
        return proposer;
    }
}
