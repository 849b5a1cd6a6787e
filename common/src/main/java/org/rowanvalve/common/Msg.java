package org.rowanvalve.common;

import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/** All that processes say to each other. Unknown members are ignored, unknown types end the circuit. */
public sealed interface Msg {
    @JsonTypeName("Ok")
    record Ok() implements Msg {}

    @JsonTypeName("Nay")
    record Nay(String why) implements Msg {
        /** A store's own word that its disk has been stalled or failing for the stated time. */
        public static final String DISK = "disk";

        public static boolean disk(final Reply r) {
            return r.as(Nay.class).filter(n -> DISK.equals(n.why())).isPresent();
        }
    }

    /**
     * {@code list}, {@code since}: the seed's member list that this node has, and the last change in it; a node that states
     * none is told by {@code roll}.
     */
    @JsonTypeName("Beat")
    record Beat(Member self, long tick, int seen, long roll, String list, long since) implements Msg {}

    record Heard(NodeId id, long silence, Condition condition, Member member) {}

    /** {@code at}: its place in the seed's list, for good, below zero for edges; without a member it is gone. */
    record Listed(int at, Member member) {}

    record Late(int at, int units) {}

    /**
     * {@code members}: to a node that stated no list. Else what changed in {@code list} up to {@code last}; by place the silence
     * of each member but edges in {@link #UNIT} ms, rounded up, {@link #LOST} where it is lost; and of edges only those that
     * are {@code late}: the others have been silent for {@link #CALM} at most, and are taken as that.
     */
    @JsonTypeName("Beaten")
    record Beaten(
            List<Heard> members,
            long tick,
            String list,
            long last,
            List<Listed> changed,
            byte[] silences,
            List<Late> late)
            implements Msg {
        public static final int UNIT = 10;
        public static final int LOST = 255;
        public static final int CALM = 750;
    }

    // voters: each question names the epoch of the voting set it is meant for; a message without one means epoch 0
    /** A refusal: this voter goes by another epoch; {@code voters}: the chosen set of that epoch, none for the founding set. */
    @JsonTypeName("OtherEpoch")
    record OtherEpoch(long epoch, Chosen voters) implements Msg {}

    @JsonTypeName("Prepare")
    record Prepare(long epoch, ItemId id, Ballot ballot) implements Msg {}

    @JsonTypeName("Promise")
    record Promise(boolean ok, Ballot high, Ballot at, Item item) implements Msg {}

    /** {@code next}: the ballot that whoever accepts promises at the same time, or none. */
    @JsonTypeName("Accept")
    record Accept(long epoch, Ballot ballot, Item item, Ballot next) implements Msg {}

    @JsonTypeName("Accepted")
    record Accepted(boolean ok, Ballot high) implements Msg {}

    @JsonTypeName("Reread")
    record Reread(long epoch, String boot, boolean bar, boolean sole) implements Msg {}

    record Slot(Ballot promised, Ballot at, Item item) {}

    @JsonTypeName("Memory")
    record Memory(
            boolean has, String boot, Map<NodeId, String> founders, long floor, List<Slot> slots, long lives, long age)
            implements Msg {}

    /**
     * To a voter of the earlier set, from one of {@code voters}, the chosen later set: what stands in the registers of the
     * cells from {@code from} on whose {@code sums} differ. Whoever is asked seals its epoch first.
     */
    @JsonTypeName("Handover")
    record Handover(Chosen voters, List<Long> sums, int from) implements Msg {}

    /** {@code epoch}: the last one the answering voter voted in; {@code next}: the first cell of the next page. */
    @JsonTypeName("HandedOver")
    record HandedOver(long epoch, long floor, long lives, Map<NodeId, String> founders, List<Slot> slots, int next)
            implements Msg {
        public static final int LAST = -1;
    }

    /**
     * The same for records of keyed requests: those of the cells whose {@code sums} differ, from behind the key {@code
     * after} on; answered by a page of {@link HandedRecords}.
     */
    @JsonTypeName("HandoverRecords")
    record HandoverRecords(Chosen voters, List<Long> sums, String after) implements Msg {}

    /** {@code bars}: by shard the highest token that the voter was read with. */
    @JsonTypeName("HandedRecords")
    record HandedRecords(Map<Integer, Token> bars, KeptCells page) implements Msg {}

    /** From the lease authority to a standby: get ready to vote in the set after this epoch. */
    @JsonTypeName("CatchUp")
    record CatchUp(long epoch) implements Msg {}

    @JsonTypeName("CaughtUp")
    record CaughtUp(boolean ok) implements Msg {}

    // learning
    record Chosen(Ballot ballot, Item item) {}

    @JsonTypeName("Learn")
    record Learn(List<Chosen> list) implements Msg {}

    @JsonTypeName("Query")
    record Query(long epoch, long hash) implements Msg {}

    @JsonTypeName("Same")
    record Same(boolean same, List<Long> sums) implements Msg {}

    @JsonTypeName("Vers")
    record Vers(long epoch, List<Integer> cells, Map<ItemId, Ver> vers) implements Msg {}

    @JsonTypeName("Give")
    record Give(List<Chosen> list, boolean all, List<ItemId> want) implements Msg {}

    // orders
    /** A checked call of an operator, in the product's own JSON, for the node that puts calls in order. */
    @JsonTypeName("Order")
    record Order(byte[] call) implements Msg {}

    /** What became of it; {@code item} and {@code version} name the conflict, where there is one. */
    @JsonTypeName("Ordered")
    record Ordered(String verdict, ItemId item, long version, List<Finding> findings) implements Msg {}

    // leases
    record Claim(int shard, Token token, String state) {}

    @JsonTypeName("Hello")
    record Hello(long term, List<Claim> claims) implements Msg {}

    @JsonTypeName("Welcome")
    record Welcome(boolean mine, long term) implements Msg {}

    @JsonTypeName("Revoke")
    record Revoke(long term, List<Claim> list) implements Msg {}

    @JsonTypeName("Revoked")
    record Revoked(boolean ok, List<Integer> stopped) implements Msg {}

    @JsonTypeName("FenceAck")
    record FenceAck(long term, List<Integer> shards) implements Msg {}

    @JsonTypeName("Place")
    record Place(long term, long epoch, List<Claim> grants) implements Msg {}

    record Wish(String service, int shard, int n) {}

    /** {@code serial}: of the weights this holder goes by; {@code wishes}: sends it wanted to make since the last one. */
    @JsonTypeName("Renew")
    record Renew(long term, List<Claim> claims, long serial, List<Wish> wishes) implements Msg {}

    @JsonTypeName("Renewed")
    record Renewed(long term, boolean mine, List<Claim> granted, List<Claim> stale) implements Msg {}

    // keepers
    /** {@code turn} names one try of one process; {@code clear}: nothing of that try has left for an origin. */
    record Note(String key, int shard, Token token, String digest, long turn, boolean clear, Outcome outcome) {
        public Note bare() {
            return new Note(key, shard, token, digest, turn, clear, null);
        }

        /** The same without the body of its outcome; that there is one is still said. */
        public Note light() {
            return outcome == null
                    ? this
                    : new Note(key, shard, token, digest, turn, clear, Outcome.elsewhere(outcome.status()));
        }

        /** What stands at one keeper once this note has come to it. */
        public Note over(final Note old) {
            if (old == null || outcome != null) {
                return this;
            }
            final boolean same = old.token.equals(token) && old.turn == turn;
            return old.outcome != null
                            || token.below(old.token)
                            || same && old.clear
                            || clear && !same && !old.token.below(token)
                    ? old
                    : this;
        }

        /** What several keepers' notes of one key come to: a try counts as clear only if no other try stands beside it. */
        public static Note settle(final Collection<Note> all) {
            final Note top = all.stream().max(Comparator.comparing(Note::token)).orElseThrow();
            final List<Note> last =
                    all.stream().filter(n -> n.token.equals(top.token)).toList();
            return all.stream()
                    .filter(n -> n.outcome != null)
                    .findFirst()
                    .or(() -> last.stream()
                            .filter(n -> !n.clear && last.stream().noneMatch(c -> c.clear && c.turn == n.turn))
                            .findFirst())
                    .or(() -> last.stream().filter(Note::clear).findFirst())
                    .orElse(top);
        }
    }

    /** {@code done}: heads and body are here; where it is false they have to be fetched from a keeper. */
    record Outcome(int status, Map<String, String> heads, byte[] body, boolean done) {
        /** An outcome whose heads and body stand elsewhere. */
        public static Outcome elsewhere(final int status) {
            return new Outcome(status, Map.of(), new byte[0], false);
        }
    }

    /**
     * A holder reads a shard's records. {@code paged}: without bodies, in pages; else all in one answer, without outcomes.
     * {@code after}, {@code era}: the last key of the page before and the era it was given in; no key for the first page.
     */
    @JsonTypeName("KeepRead")
    record KeepRead(long epoch, int shard, Token token, String boot, boolean paged, String after, long era)
            implements Msg {}

    /**
     * {@code high}: the highest token this keeper was read with, above the asker's where that is barred; {@code next}: what
     * to ask the next page with, or none after the last. A keeper in a lapse gives no notes.
     */
    @JsonTypeName("Kept")
    record Kept(boolean ok, boolean lapse, Token high, List<Note> notes, long era, String next) implements Msg {}

    @JsonTypeName("KeepWrite")
    record KeepWrite(long epoch, Note note, long era) implements Msg {}

    @JsonTypeName("KeepSeen")
    record KeepSeen(boolean ok, boolean lapse, boolean stale) implements Msg {}

    /** Fetches the outcome of one key, with its body. */
    @JsonTypeName("KeepOutcome")
    record KeepOutcome(String key) implements Msg {}

    /** {@code note}: with its outcome, or none where this keeper has no outcome of the key. */
    @JsonTypeName("KeptOutcome")
    record KeptOutcome(Note note) implements Msg {}

    /** A keeper asks another for the sums of its cells; with {@code bar} that one's era ends once for each {@code asker}. */
    @JsonTypeName("KeepSums")
    record KeepSums(long epoch, String asker, boolean bar) implements Msg {}

    /** {@code ok}: this keeper has its memory; {@code bars}: by shard the highest token it was read with. */
    @JsonTypeName("KeptSums")
    record KeptSums(boolean ok, List<Long> sums, Map<Integer, Token> bars) implements Msg {}

    /** Records of the named cells, in order of cell and key, from behind the key {@code after} of the first cell. */
    @JsonTypeName("KeepCells")
    record KeepCells(long epoch, List<Integer> cells, String after) implements Msg {}

    /** A record with its age, and how long it stands in all, so that a copy ends no later than the original. */
    record AgedNote(Note note, long age, long stay) {}

    /** {@code sum}: over the records of this page; {@code next}: the last key given, or none after the last page. */
    @JsonTypeName("KeptCells")
    record KeptCells(boolean ok, List<AgedNote> notes, long sum, String next) implements Msg {}

    // traffic
    /**
     * {@code id}: the caller's own name for this try; {@code pass}: to be passed through without the right to fill;
     * {@code extra}: another origin may have got this request before; {@code heads}: the caller's other headers;
     * {@code attempts}: to how many origins the receiver may send it, each further one being asked for by
     * {@link MoreAttempts}; a sender that states none leaves it to the route.
     */
    @JsonTypeName("Fill")
    record Fill(
            long serial,
            String route,
            String method,
            String host,
            String path,
            int shard,
            Token known,
            Mark mark,
            String key,
            byte[] body,
            String type,
            long span,
            String id,
            boolean pass,
            boolean extra,
            Map<String, String> heads,
            Integer attempts)
            implements Msg {}

    /** Asked of the edge that sent the {@link Fill} of this serial: may one more origin get the request? */
    @JsonTypeName("MoreAttempts")
    record MoreAttempts(long serial) implements Msg {}

    /** {@code count}: how many more origins may get it; they are reserved for the one that asked. */
    @JsonTypeName("AttemptsGranted")
    record AttemptsGranted(int count) implements Msg {}

    /**
     * {@code service}: which one answered, where a route is split over several; {@code unused}: of the attempts given, how
     * many were surely not made and never will be.
     */
    @JsonTypeName("Filled")
    record Filled(
            String fate,
            String why,
            int status,
            Token token,
            Map<String, String> heads,
            byte[] body,
            long age,
            Mark mark,
            long retryMs,
            String service,
            int unused)
            implements Msg {
        public Filled withUnused(final int count) {
            return new Filled(fate, why, status, token, heads, body, age, mark, retryMs, service, count);
        }

        public Filled(
                final String fate,
                final String why,
                final int status,
                final Token token,
                final Map<String, String> heads,
                final byte[] body,
                final long age,
                final Mark mark,
                final long retryMs,
                final String service) {
            this(fate, why, status, token, heads, body, age, mark, retryMs, service, 0);
        }

        public Filled(
                final String fate,
                final String why,
                final int status,
                final Token token,
                final Map<String, String> heads,
                final byte[] body,
                final long age,
                final Mark mark,
                final long retryMs) {
            this(fate, why, status, token, heads, body, age, mark, retryMs, null, 0);
        }
    }

    /** One-way: how many requests of the sender each of these origins has now. */
    @JsonTypeName("Busy")
    record Busy(Map<String, Integer> counts) implements Msg {}

    /** Who votes, asked of any node that may know; an empty answer means that it does not know either. */
    @JsonTypeName("Seats")
    record Seats() implements Msg {}

    /** {@code electors}: the founding voters; {@code voters}: the chosen set that votes now, none while those do. */
    @JsonTypeName("Seated")
    record Seated(List<String> electors, Chosen voters) implements Msg {}

    @JsonTypeName("Report")
    record Report(String what) implements Msg {}

    @JsonTypeName("Reported")
    record Reported(String json) implements Msg {}
}
