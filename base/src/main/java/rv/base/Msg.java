package rv.base;

import java.util.List;
import java.util.Map;

/** All that processes say to each other. Unknown members are ignored, unknown types end the circuit. */
public sealed interface Msg {
    record Ok() implements Msg { }

    record Nay(String why) implements Msg { }

    record Beat(Member self, long tick, int seen, long roll) implements Msg { }

    record Heard(NodeId id, long silence, Condition condition, Member member) { }

    record Beaten(List<Heard> members, long tick) implements Msg { }

    // electors
    record Prepare(ItemId id, Ballot ballot) implements Msg { }

    record Promise(boolean ok, Ballot high, Ballot at, Item item) implements Msg { }

    record Accept(Ballot ballot, Item item) implements Msg { }

    record Accepted(boolean ok, Ballot high) implements Msg { }

    record Reread(String boot, boolean bar) implements Msg { }

    record Slot(Ballot promised, Ballot at, Item item) { }

    record Memory(boolean has, String boot, Map<NodeId, String> founders, long floor, List<Slot> slots) implements Msg { }

    // learning
    record Chosen(Ballot ballot, Item item) { }

    record Learn(List<Chosen> list) implements Msg { }

    record Query(long hash) implements Msg { }

    record Same(boolean same, List<Long> sums) implements Msg { }

    record Vers(List<Integer> cells, Map<ItemId, Ver> vers) implements Msg { }

    record Give(List<Chosen> list, boolean all) implements Msg { }

    // leases
    record Claim(int shard, Token token, String state) { }

    record Hello(long term, List<Claim> claims) implements Msg { }

    record Welcome(boolean mine, long term) implements Msg { }

    record Revoke(long term, List<Claim> list) implements Msg { }

    record Revoked(boolean ok, List<Integer> stopped) implements Msg { }

    record FenceAck(long term, List<Integer> shards) implements Msg { }

    record Place(long term, long epoch, List<Claim> grants) implements Msg { }

    record Renew(long term, List<Claim> claims) implements Msg { }

    record Renewed(long term, boolean mine, List<Claim> granted, List<Claim> stale) implements Msg { }

    // keepers
    record Note(String key, int shard, Token token, String digest, Outcome outcome) { }

    record Outcome(int status, Map<String, String> heads, byte[] body, boolean done) { }

    record KeepRead(int shard, Token token) implements Msg { }

    record Kept(boolean ok, boolean lapse, Token high, List<Note> notes, long era) implements Msg { }

    record KeepWrite(Note note, long era) implements Msg { }

    record KeepSeen(boolean ok, boolean lapse, boolean stale) implements Msg { }

    record KeepAll(boolean bar) implements Msg { }

    record KeptAll(boolean ok, List<Note> notes, Map<Integer, Token> bars) implements Msg { }

    // traffic
    record Fill(long serial, String route, String method, String path, int shard, Token known, Mark mark, String key,
                byte[] body, String type, long span) implements Msg { }

    record Filled(String fate, String why, int status, Token token, Map<String, String> heads, byte[] body, long age,
                  Mark mark, long retryMs) implements Msg { }

    record Report(String what) implements Msg { }

    record Reported(String json) implements Msg { }
}
