package rv.data;

import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import rv.base.Loop;
import rv.base.Msg;
import rv.base.Net;
import rv.base.NodeId;
import rv.base.Reply;
import rv.control.Quorum;
import rv.control.StoreHealth;

/**
 * One note on its way to the keepers: done at a majority and at every store that is heard from. Only keepers count that
 * are still in the era in which they were read; one that is not is read again, and where too few are left the note is
 * written once more when enough of them are.
 */
final class RecordWrite {
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
            final Quorum quorum,
            final Loop loop,
            final Net net,
            final StoreHealth stores,
            final KeyedShard shard,
            final Msg.Note note,
            final long span,
            final boolean again,
            final Consumer<Boolean> then) {
        this.quorum = quorum;
        this.loop = loop;
        this.net = net;
        this.stores = stores;
        this.shard = shard;
        this.note = note;
        this.span = span;
        this.again = again;
        this.then = then;
        this.begun = loop.now();
        this.left = quorum.electors().size();
    }

    void start() {
        final List<NodeId> keepers = quorum.electors();
        keepers.forEach(k -> {
            final OptionalLong era = shard.reader().era(k);
            if (era.isPresent()) {
                net.ask(k, new Msg.KeepWrite(note, era.getAsLong()), span, r -> heard(k, r));
            } else {
                left--;
                stale.add(k);
            }
        });
        loop.after(StoreHealth.HUSH, this::look);
        look();
    }

    private void heard(final NodeId keeper, final Reply r) {
        left--;
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
        final boolean most = quorum.write(good);
        if (most && !barred && stores.enough(synced, loop.now() - begun)) {
            end(true);
        } else if (barred || !most && (left == 0 || good.size() + left < quorum.need())) {
            end(false);
        }
    }

    private void end(final boolean ok) {
        over = true;
        if (ok || barred || stale.isEmpty() || !again) {
            then.accept(ok);
            return;
        }
        shard.whenReady(span, this::repeat, () -> then.accept(false));
    }

    /** Not over another process's intent that came to light when the keepers were read anew. */
    private void repeat() {
        if (note.outcome() == null && shard.keys().get(note.key()).foreign != null) {
            then.accept(false);
        } else {
            new RecordWrite(quorum, loop, net, stores, shard, note, span, false, then).start();
        }
    }
}
