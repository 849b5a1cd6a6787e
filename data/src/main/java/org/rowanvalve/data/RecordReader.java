package org.rowanvalve.data;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Reply;
import org.rowanvalve.common.Token;
import org.rowanvalve.control.Electorate;
import org.rowanvalve.control.Quorum;
import org.rowanvalve.control.StoreHealth;

/**
 * Reads one shard's records from the keepers of one epoch, once for a token and for each keeper's era. Each keeper is asked for
 * itself, page by page, again after a growing pause, with growing patience: one that is late holds up no other, and
 * what another has answered counts on. However many requests wait, one question to each keeper is open at most.
 */
final class RecordReader {
    private static final long FIRST_WAIT = 1000;
    private static final int WAIT_DOUBLINGS = 3;
    private static final long FIRST_PAUSE = 100;
    private static final long LONGEST_PAUSE = 1000;
    private final Electorate electorate;
    private final Quorum quorum;
    private final Loop loop;
    private final Net net;
    private final StoreHealth stores;
    private final int shard;
    private final Token token;
    private final String boot;
    private final BooleanSupplier wanted;
    private final Listener listener;
    private final Map<NodeId, KeeperRead> reads = new LinkedHashMap<>();
    private long begun;
    private boolean stopped;

    interface Listener {
        /** All records of one keeper, read in one era. */
        void whole(List<Msg.Note> notes);

        /** Something changed that {@link #ready} may rest on. */
        void changed();

        /** A higher token was read somewhere: this one is over. */
        void barred();
    }

    /** How far one keeper has been read. */
    private static final class KeeperRead {
        private final List<Msg.Note> notes = new ArrayList<>();
        private boolean asking;
        private boolean pausing;
        private boolean whole;
        private boolean known;
        private boolean heard;
        private long era;
        private String after;
        private int failures;

        void forget() {
            notes.clear();
            after = null;
            whole = false;
            known = false;
        }

        long patience() {
            return FIRST_WAIT << Math.min(failures, WAIT_DOUBLINGS);
        }

        long pause() {
            return Math.min(LONGEST_PAUSE, FIRST_PAUSE << Math.min(failures, WAIT_DOUBLINGS));
        }
    }

    /** {@code wanted}: whether the right to the shard is still had under this token. */
    RecordReader(
            final Electorate electorate,
            final Loop loop,
            final Net net,
            final StoreHealth stores,
            final int shard,
            final Token token,
            final String boot,
            final BooleanSupplier wanted,
            final Listener listener) {
        this.electorate = electorate;
        this.quorum = electorate.quorum();
        this.loop = loop;
        this.net = net;
        this.stores = stores;
        this.shard = shard;
        this.token = token;
        this.boot = boot;
        this.wanted = wanted;
        this.listener = listener;
        quorum.voters().forEach(k -> reads.put(k, new KeeperRead()));
        begun = loop.now();
    }

    /** Asks every keeper that is neither read nor being asked, nor waits for its next question. */
    void start() {
        if (!stopped) {
            reads.forEach(this::ask);
            loop.after(StoreHealth.HUSH, listener::changed);
        }
    }

    void stop() {
        stopped = true;
    }

    /** A keeper's era ended, or its reader is another one now: it alone is read again. */
    void again(final NodeId keeper) {
        final KeeperRead read = reads.get(keeper);
        if (read != null && read.known) {
            read.forget();
            begun = loop.now();
            ask(keeper, read);
        }
    }

    /** A majority with memory was read whole, and every store that is heard from. */
    boolean ready() {
        return quorum.read(whole()) && stores.enough(heard(), loop.now() - begun);
    }

    Set<NodeId> whole() {
        final Set<NodeId> set = new HashSet<>();
        reads.forEach((k, r) -> {
            if (r.whole) {
                set.add(k);
            }
        });
        return set;
    }

    private Set<NodeId> heard() {
        final Set<NodeId> set = new HashSet<>();
        reads.forEach((k, r) -> {
            if (r.heard) {
                set.add(k);
            }
        });
        return set;
    }

    /** In which era a keeper was read, or none where it is not read in its present one. */
    OptionalLong era(final NodeId keeper) {
        final KeeperRead read = reads.get(keeper);
        return read != null && read.known ? OptionalLong.of(read.era) : OptionalLong.empty();
    }

    private void ask(final NodeId keeper, final KeeperRead read) {
        if (stopped || read.whole || read.asking || read.pausing || !wanted.getAsBoolean()) {
            return;
        }
        read.asking = true;
        final Msg.KeepRead question = new Msg.KeepRead(quorum.epoch(), shard, token, boot, true, read.after, read.era);
        net.ask(keeper, question, read.patience(), r -> {
            read.asking = false;
            electorate.refused(keeper, r);
            if (!stopped) {
                answered(keeper, read, r);
            }
        });
    }

    private void answered(final NodeId keeper, final KeeperRead read, final Reply r) {
        if (Msg.Nay.disk(r)) {
            stores.failing(keeper);
        }
        final Msg.Kept page = r.as(Msg.Kept.class).orElse(null);
        if (page != null && token.below(page.high())) {
            stopped = true;
            listener.barred();
            return;
        }
        if (page == null || !page.ok()) {
            retry(keeper, read, page != null);
        } else {
            take(keeper, read, page);
        }
        listener.changed();
    }

    private void take(final NodeId keeper, final KeeperRead read, final Msg.Kept page) {
        stores.heard(keeper);
        read.heard = true;
        if (read.after != null && page.era() != read.era) {
            retry(keeper, read, true);
            return;
        }
        read.era = page.era();
        read.notes.addAll(page.notes());
        if (page.next() != null) {
            read.after = page.next();
            ask(keeper, read);
        } else if (page.lapse()) {
            retry(keeper, read, true);
            read.known = true;
        } else {
            read.failures = 0;
            read.known = true;
            read.whole = true;
            listener.whole(List.copyOf(read.notes));
            read.notes.clear();
            read.after = null;
        }
    }

    /** A page that is late is asked again; with {@code anew} the keeper from its first page on. */
    private void retry(final NodeId keeper, final KeeperRead read, final boolean anew) {
        if (anew) {
            read.forget();
        }
        read.failures++;
        read.pausing = true;
        loop.after(read.pause(), () -> {
            read.pausing = false;
            ask(keeper, read);
        });
    }
}
