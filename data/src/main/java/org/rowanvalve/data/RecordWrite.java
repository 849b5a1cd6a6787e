package org.rowanvalve.data;

import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Reply;
import org.rowanvalve.control.Electorate;
import org.rowanvalve.control.Quorum;
import org.rowanvalve.control.StoreHealth;

/**
 * One note on its way to the keepers: done at a majority and at every store that is heard from. Only keepers count that
 * are still in the era in which they were read; one that is not is read again, and where too few are left the note is
 * written once more when enough of them are.
 */
final class RecordWrite {
    private static final long MOVED_PATIENCE = 1500;
    private static final long LOOK_PERIOD = 100;
    private final Electorate electorate;
    private final Quorum quorum;
    private final Loop loop;
    private final Net net;
    private final StoreHealth stores;
    private final KeyedShard shard;
    private final Msg.Note note;
    private final long span;
    private final boolean again;
    private final Consumer<Boolean> then;
    private final long begun;
    private final Set<NodeId> good = new HashSet<>();
    private final Set<NodeId> synced = new HashSet<>();
    private final Set<NodeId> stale = new HashSet<>();
    private int left;
    private boolean barred;
    private boolean over;

    /** {@code again}: whether it is written once more after keepers have been read anew. */
    RecordWrite(
            final Electorate electorate,
            final Loop loop,
            final Net net,
            final StoreHealth stores,
            final KeyedShard shard,
            final Msg.Note note,
            final long span,
            final boolean again,
            final Consumer<Boolean> then) {
        this.electorate = electorate;
        this.quorum = electorate.quorum();
        this.loop = loop;
        this.net = net;
        this.stores = stores;
        this.shard = shard;
        this.note = note;
        this.span = span;
        this.again = again;
        this.then = then;
        this.begun = loop.now();
        this.left = quorum.voters().size();
    }

    void start() {
        final List<NodeId> keepers = quorum.voters();
        keepers.forEach(k -> {
            final OptionalLong era = shard.reader().era(k);
            if (era.isPresent()) {
                net.ask(k, new Msg.KeepWrite(quorum.epoch(), note, era.getAsLong()), span, r -> heard(k, r));
            } else {
                left--;
                stale.add(k);
            }
        });
        loop.after(StoreHealth.HUSH, this::look);
        lookOn();
    }

    private void lookOn() {
        look();
        if (!over) {
            loop.after(LOOK_PERIOD, this::lookOn);
        }
    }

    private void heard(final NodeId keeper, final Reply r) {
        left--;
        if (electorate.refused(keeper, r)) {
            stale.add(keeper);
        }
        if (Msg.Nay.disk(r)) {
            stores.failing(keeper);
        }
        r.as(Msg.KeepSeen.class).ifPresent(s -> seen(keeper, s));
        look();
    }

    private void seen(final NodeId keeper, final Msg.KeepSeen s) {
        if (s.stale()) {
            stale.add(keeper);
            shard.reader().again(keeper);
        } else if (s.ok()) {
            synced.add(keeper);
            stores.heard(keeper);
            if (!s.lapse()) {
                good.add(keeper);
            }
        } else {
            barred |= stores.has(keeper);
        }
    }

    private void look() {
        if (over) {
            return;
        }
        if (electorate.epoch() != quorum.epoch()) {
            moved();
            return;
        }
        final boolean most = quorum.write(good);
        if (most && !barred && stores.enough(synced, loop.now() - begun)) {
            end(true);
        } else if (barred || !most && (left == 0 || good.size() + left < quorum.need())) {
            end(false);
        }
    }

    /** Another set of keepers counts now: what this one has acknowledged is handed over, and the new one is asked. */
    private void moved() {
        over = true;
        shard.whenReady(MOVED_PATIENCE, () -> repeat(again), () -> then.accept(false));
    }

    private void end(final boolean ok) {
        over = true;
        if (ok || barred || stale.isEmpty() || !again) {
            then.accept(ok);
            return;
        }
        shard.whenReady(span, () -> repeat(false), () -> then.accept(false));
    }

    /** Not over another process's intent that came to light when the keepers were read anew. */
    private void repeat(final boolean more) {
        if (note.outcome() == null && shard.keys().get(note.key()).foreign != null) {
            then.accept(false);
        } else {
            new RecordWrite(electorate, loop, net, stores, shard, note, span, more, then).start();
        }
    }
}
