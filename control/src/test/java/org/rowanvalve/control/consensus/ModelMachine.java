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

/** One machine of the model: its disk outlives its process. */
final class ModelMachine implements EventLoop, Transport, StableStorage {
    private static final long SYNC = 30;
    private static final long RETURN = 60;
    private final VotingChangeModel model;
    private final NodeId self;
    private final boolean votes;
    private final Map<String, byte[]> rows = new HashMap<>();
    private VotingConfiguration votingConfiguration;
    private ItemStore items;
    private Proposer proposer;
    private Optional<Acceptor> voter = Optional.empty();
    private boolean alive;
    private int life;

    ModelMachine(final VotingChangeModel model, final String name, final boolean votes) {
        this.model = model;
        this.self = VotingChangeModel.id(name);
        this.votes = votes;
    }

    void start(final boolean first) {
        alive = true;
        life++;
        final EventJournal journal = new EventJournal(this, 1);
        items = new ItemStore(this, journal);
        final Quorum founding = new Quorum(
                model.scene().before().stream().map(VotingChangeModel::id).toList(), Set.of());
        votingConfiguration = new VotingConfiguration(
                founding, VotingChangeModel.addresses(model.scene().before()));
        votingConfiguration.connectPeers(
                this::learn, (recipient, set) -> send(List.of(recipient), new LearnNotification(List.of(set))));
        votingConfiguration.followStore(items);
        final StoreHealth health = new StoreHealth(founding, this, journal);
        proposer = new Proposer(
                self,
                "b" + life,
                votingConfiguration,
                this,
                this,
                new Random(self.hashCode() + life),
                journal,
                items,
                model::all,
                health);
        if (votes) {
            begin(first, journal);
        }
    }

    private void begin(final boolean first, final EventJournal journal) {
        final Acceptor v = new Acceptor(
                self,
                votingConfiguration,
                this,
                this,
                new MonitoredStorage(this, this),
                journal,
                "b" + life,
                first,
                () -> items.all().isEmpty());
        voter = Optional.of(v);
        v.onStateRebuilt(() -> items.all().forEach(v::learn));
        v.prefillItems(items::all);
        try {
            v.start();
        } catch (final StorageException e) {
            throw new IllegalStateException(e);
        }
        new UnfinishedWriteRecovery(
                        v,
                        items,
                        proposer,
                        this,
                        new Random(self.hashCode() + life),
                        () -> votingConfiguration.voters().indexOf(self),
                        new EventJournal(this, 1),
                        0)
                .start();
    }

    void crash(final boolean wiped) {
        alive = false;
        life++;
        voter = Optional.empty();
        if (wiped) {
            rows.clear();
        }
        model.at(RETURN, () -> {
            if (!alive) {
                start(false);
            }
        });
    }

    /** Whether this machine answers votes of the epoch. */
    boolean votesIn(final long epoch) {
        return voter.isPresent() && voter.get().isVoting() && votingConfiguration.epoch() == epoch;
    }

    private void learn(final ChosenItem chosen) {
        voter.ifPresent(v -> v.learn(chosen));
        items.merge(chosen);
    }

    @Override
    public long now() {
        return model.now();
    }

    @Override
    public void schedule(final long ms, final Runnable job) {
        final int mine = life;
        model.at(ms, () -> {
            if (alive && life == mine) {
                job.run();
            }
        });
    }

    @Override
    public Map<String, byte[]> load() {
        return new HashMap<>(rows);
    }

    @Override
    public void save(final Map<String, byte[]> some, final Consumer<Boolean> done) {
        schedule(SYNC, () -> {
            some.forEach((k, v) -> {
                if (v == null) {
                    rows.remove(k);
                } else {
                    rows.put(k, v);
                }
            });
            done.accept(true);
        });
    }

    @Override
    public void request(final NodeId recipient, final Message msg, final long wait, final Consumer<Reply> then) {
        final boolean[] over = new boolean[1];
        final Consumer<Reply> once = reply -> {
            if (!over[0]) {
                over[0] = true;
                then.accept(reply);
            }
        };
        schedule(wait, () -> once.accept(Reply.failed(Reply.Failure.NO_RESPONSE)));
        final int mine = life;
        final ModelMachine peer = model.machine(recipient);
        model.carry(
                this,
                peer,
                () -> peer.take(
                        self,
                        msg,
                        answer -> model.carry(peer, this, () -> {
                            if (life == mine) {
                                once.accept(Reply.of(answer));
                            }
                        })));
    }

    private void take(final NodeId from, final Message msg, final Consumer<Message> back) {
        if (msg instanceof LearnNotification m) {
            m.items().forEach(this::learn);
            back.accept(new AckResponse());
        } else if (voter.isEmpty()) {
            back.accept(new RejectedResponse("no voter"));
        } else if (msg instanceof PrepareRequest m) {
            voter.get().prepare(m, back);
        } else if (msg instanceof AcceptRequest m) {
            voter.get().accept(m, back);
        } else if (msg instanceof AcceptedChecksumsRequest m) {
            voter.get().acceptedChecksums(m, back);
        } else if (msg instanceof StateTransferRequest m) {
            voter.get().transferState(from, m, back);
        } else if (msg instanceof RegisterHandoverRequest m) {
            voter.get().handOverRegisters(from, m, back);
        } else if (msg instanceof RecordHandoverRequest m) {
            voter.get().handOverRecords(from, m, back);
        }
    }

    NodeId self() {
        return self;
    }

    boolean votes() {
        return votes;
    }

    boolean alive() {
        return alive;
    }

    int life() {
        return life;
    }

    VotingConfiguration electorate() {
        return votingConfiguration;
    }

    Proposer writer() {
        return proposer;
    }
}
