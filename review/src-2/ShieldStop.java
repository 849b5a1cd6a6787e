import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Machines are stopped and started in turn: an edge, and 1.3 s later a shield. Keyed requests that clients sent to that
 * edge on connections which were open before are at work at their origins when the shield gets its SIGTERM.
 */
final class ShieldStop {
    private static final int SHIELDS = 4;
    private static final int EDGES = 2;
    private static final int ROUNDS = 3;
    private static final int REQUESTS = 12;
    private static final long WORK_MS = 1000;
    private static final long DEADLINE_MS = 4000;
    private static final long GRACE_MS = 6000;
    private static final long GAP_MS = 1300;

    private record Try(String id, String key, long sentAt, long endedAt, Rig.Reply reply) {}

    private static Rig.Reply post(final Socket socket, final String id, final String key) {
        try {
            socket.setSoTimeout((int) DEADLINE_MS + 1500);
            socket.getOutputStream()
                    .write(("POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id + "\r\nX-Operation-Key: "
                                    + key + "\r\nX-Deadline-Remaining: " + DEADLINE_MS + "\r\nContent-Length: 7\r\n\r\n{\"n\":1}")
                            .getBytes(StandardCharsets.ISO_8859_1));
            return Rig.read(socket.getInputStream());
        } catch (final IOException e) {
            return Rig.Reply.none("closed: " + e.getMessage());
        }
    }

    public static void main(final String[] args) throws Exception {
        final Rig rig = new Rig(args[0], SHIELDS);
        rig.startAll(EDGES);
        final List<Stand> tills = new ArrayList<>();
        for (int i = 1; i <= 8; i++) {
            tills.add(new Stand(rig, rig.at(20 + i), "i-till" + i, "till", 2));
        }
        rig.configure(
                Configs.patch(
                        Configs.routes(Configs.route("r-book", "/book/", "keyed", 4000, 600, 2, "null", "00000007", "till")),
                        Configs.services("00000007", "till"),
                        Configs.limits("00000007")),
                EDGES);
        for (final Stand till : tills) {
            till.announce();
            till.workMs = path -> 140L;
        }
        rig.await("a keyed answer", 20_000, () -> rig.ask(SHIELDS + 1, "POST", "/book/0", "{}", DEADLINE_MS,
                rig.nextId("first"), "X-Operation-Key", rig.nextId("kf")).status() == 200);
        Rig.pause(4000);

        int broken = 0;
        int unanswered = 0;
        int served = 0;
        for (int round = 1; round <= ROUNDS; round++) {
            final int shield = round;
            final int edge = SHIELDS + 1 + round % EDGES;
            final int other = SHIELDS + 1 + (round + 1) % EDGES;
            tills.forEach(till -> till.workMs = path -> WORK_MS);
            final List<Socket> sockets = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                final Socket socket = new Socket();
                socket.connect(new InetSocketAddress(rig.at(edge), Rig.FRONT), 1000);
                socket.setTcpNoDelay(true);
                sockets.add(socket);
            }
            Rig.pause(200);
            final long edgeStopAt = rig.ms();
            if (Rig.trouble()) {
                rig.signal(edge, "TERM");
            }
            Rig.pause(GAP_MS - 100 - (rig.ms() - edgeStopAt));
            final List<Try> tries = new CopyOnWriteArrayList<>();
            final List<Thread> clients = new ArrayList<>();
            for (final Socket socket : sockets) {
                clients.add(Rig.spawn(() -> {
                    final String id = rig.nextId("try");
                    final long sentAt = rig.ms();
                    final Rig.Reply reply = post(socket, id, "key-" + id);
                    tries.add(new Try(id, "key-" + id, sentAt, rig.ms(), reply));
                    rig.note("client: " + id + " sent at " + sentAt + ", after " + (rig.ms() - sentAt) + " ms: " + reply);
                }));
            }
            Rig.pause(GAP_MS - (rig.ms() - edgeStopAt));
            final long shieldStopAt = rig.ms();
            if (Rig.trouble()) {
                rig.signal(shield, "TERM");
            }
            for (final Thread client : clients) {
                client.join(DEADLINE_MS + 2000);
            }
            for (final Socket socket : sockets) {
                socket.close();
            }
            if (Rig.trouble()) {
                for (final int machine : new int[] {shield, edge}) {
                    if (!rig.awaitEnd(machine, Math.max(100, GRACE_MS - (rig.ms() - edgeStopAt)))) {
                        rig.signal(machine, "KILL");
                        rig.awaitEnd(machine, 2000);
                    }
                    rig.start(machine, false);
                }
            }
            tills.forEach(till -> till.workMs = path -> 140L);
            Rig.pause(9000);
            for (final Try one : tries) {
                served += one.reply().status() == 200 ? 1 : 0;
                for (final Stand till : tills) {
                    for (final Stand.Work work : till.works) {
                        // The deadline and the last sixth of the grace excuse; both are far away here.
                        if (work.id.equals(one.id())
                                && work.droppedByCaller
                                && one.reply().header("X-Edge-Seal").isEmpty()
                                && work.endedAt - one.sentAt() < DEADLINE_MS * 7 / 10
                                && work.endedAt - shieldStopAt < GRACE_MS * 5 / 6
                                && work.endedAt - edgeStopAt < GRACE_MS * 5 / 6) {
                            broken++;
                            final Rig.Reply again = rig.ask(other, "POST", "/book/1", "{\"n\":1}", DEADLINE_MS,
                                    rig.nextId("again"), "X-Operation-Key", one.key());
                            unanswered += again.status() == 200 ? 0 : 1;
                            rig.note("BROKEN OFF: " + one.id() + " begun by " + till.id + " at " + work.begunAt
                                    + ", closed by the system at " + work.endedAt + ", " + (work.endedAt - shieldStopAt)
                                    + " ms after the shield's SIGTERM and " + (work.endedAt - edgeStopAt)
                                    + " ms after the edge's; the client was told " + one.reply().status()
                                    + " without the origin's seal; the same key later: " + again);
                        }
                    }
                }
            }
        }
        rig.note(served + " of " + ROUNDS * REQUESTS + " served, " + broken
                + " broken off while their origin worked and answered in its place, " + unanswered
                + " of these keys without an answer afterwards");
        rig.end(broken > 0 ? 1 : served < REQUESTS ? 2 : 0);
    }
}
