package org.rowanvalve.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.rowanvalve.common.Disk;
import org.rowanvalve.common.DiskTrouble;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Reply;

/** One machine of the model: its disk outlives its process. */
final class ModelMachine implements Loop, Net, Disk {
    private static final long SYNC = 30;
    private static final long RETURN = 60;
    private final VoterChangeModel model;
    private final NodeId self;
    private final boolean votes;
    private final Map<String, byte[]> rows = new HashMap<>();
    private Electorate electorate;
    private ItemStore items;
    private Writer writer;
    private Optional<Voter> voter = Optional.empty();
    private boolean alive;
    private int life;

    ModelMachine(final VoterChangeModel model, final String name, final boolean votes) {
        this.model = model;
        this.self = VoterChangeModel.id(name);
        this.votes = votes;
    }

    void start(final boolean first) {
        alive = true;
        life++;
        final Journal journal = new Journal(this, 1);
        items = new ItemStore(this, journal);
        final Quorum founding = new Quorum(
                model.scene().before().stream().map(VoterChangeModel::id).toList(), Set.of());
        electorate = new Electorate(
                founding, VoterChangeModel.addresses(model.scene().before()));
        electorate.connect(this::learn, (to, set) -> tell(List.of(to), new Msg.Learn(List.of(set))));
        electorate.follow(items);
        final StoreHealth health = new StoreHealth(founding, this, journal);
        writer = new Writer(
                self,
                "b" + life,
                electorate,
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

    private void begin(final boolean first, final Journal journal) {
        final Voter v = new Voter(
                self,
                electorate,
                this,
                this,
                new MonitoredDisk(this, this),
                journal,
                "b" + life,
                first,
                () -> items.all().isEmpty());
        voter = Optional.of(v);
        v.onWhole(() -> items.all().forEach(v::learn));
        v.prefill(items::all);
        try {
            v.start();
        } catch (final DiskTrouble e) {
            throw new IllegalStateException(e);
        }
        new WriteRecovery(
                        v,
                        items,
                        writer,
                        this,
                        new Random(self.hashCode() + life),
                        () -> electorate.voters().indexOf(self))
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
        return voter.isPresent() && voter.get().votes() && electorate.epoch() == epoch;
    }

    private void learn(final Msg.Chosen c) {
        voter.ifPresent(v -> v.learn(c));
        items.merge(c);
    }

    @Override
    public long now() {
        return model.now();
    }

    @Override
    public void after(final long ms, final Runnable job) {
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
        after(SYNC, () -> {
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
    public void ask(final NodeId to, final Msg msg, final long wait, final Consumer<Reply> then) {
        final boolean[] over = new boolean[1];
        final Consumer<Reply> once = r -> {
            if (!over[0]) {
                over[0] = true;
                then.accept(r);
            }
        };
        after(wait, () -> once.accept(Reply.lost(Reply.Trouble.NO_ANSWER)));
        final int mine = life;
        final ModelMachine peer = model.machine(to);
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

    private void take(final NodeId from, final Msg msg, final Consumer<Msg> back) {
        if (msg instanceof Msg.Learn m) {
            m.list().forEach(this::learn);
            back.accept(new Msg.Ok());
        } else if (voter.isEmpty()) {
            back.accept(new Msg.Nay("no voter"));
        } else if (msg instanceof Msg.Prepare m) {
            voter.get().prepare(m, back);
        } else if (msg instanceof Msg.Accept m) {
            voter.get().accept(m, back);
        } else if (msg instanceof Msg.Reread m) {
            voter.get().reread(from, m, back);
        } else if (msg instanceof Msg.Handover m) {
            voter.get().handover(from, m, back);
        } else if (msg instanceof Msg.HandoverRecords m) {
            voter.get().handoverRecords(from, m, back);
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

    Electorate electorate() {
        return electorate;
    }

    Writer writer() {
        return writer;
    }
}
