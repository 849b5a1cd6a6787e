import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** An edge is stopped in order; the answer to one request that it has passed on is lost at its origin. */
final class EdgeStop {
    private static final int SHIELDS = 4;
    private static final int EDGES = 2;
    private static final int REQUESTS = 40;
    private static final long WORK_MS = 140;
    private static final long DEADLINE_MS = 4000;
    private static final long GRACE_MS = 6000;
    private static final long LOSS_SLACK_MS = 200;
    /** Clients' requests come so long after the SIGTERM; each deadline ends before the grace does. */
    private static final long SENT_AFTER_MS = 1900;

    private record Try(String id, long sentAt, long endedAt, Rig.Reply reply) {}

    private static Rig.Reply post(final Socket socket, final String id) {
        try {
            socket.setSoTimeout((int) DEADLINE_MS + 1500);
            socket.getOutputStream()
                    .write(("POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id
                                    + "\r\nX-Operation-Key: key-" + id + "\r\nX-Deadline-Remaining: " + DEADLINE_MS
                                    + "\r\nContent-Length: 7\r\n\r\n{\"n\":1}")
                            .getBytes(StandardCharsets.ISO_8859_1));
            return Rig.read(socket.getInputStream());
        } catch (final IOException e) {
            return Rig.Reply.none("closed: " + e.getMessage());
        }
    }

    public static void main(final String[] args) throws Exception {
        final Rig rig = new Rig(args[0], SHIELDS);
        rig.startAll(EDGES);
        final int edge = SHIELDS + 1;
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
            till.workMs = path -> WORK_MS;
        }
        rig.await("a keyed answer", 20_000, () -> rig.ask(edge, "POST", "/book/0", "{}", DEADLINE_MS,
                rig.nextId("first"), "X-Operation-Key", rig.nextId("kf")).status() == 200);
        Rig.pause(5000);

        final List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            final Socket socket = new Socket();
            socket.connect(new InetSocketAddress(rig.at(edge), Rig.FRONT), 1000);
            socket.setTcpNoDelay(true);
            sockets.add(socket);
        }
        final AtomicInteger lost = new AtomicInteger();
        if (Rig.trouble()) {
            // One answer of forty, at one origin of eight.
            tills.forEach(till -> till.losesAnswer = attempt -> attempt.startsWith("try") && lost.incrementAndGet() == 1);
        }
        Rig.pause(300);
        final long stopAt = rig.ms();
        if (Rig.trouble()) {
            rig.signal(edge, "TERM");
        }
        Rig.pause(SENT_AFTER_MS - (rig.ms() - stopAt));
        final List<Try> tries = new CopyOnWriteArrayList<>();
        final List<Thread> clients = new ArrayList<>();
        for (final Socket socket : sockets) {
            clients.add(Rig.spawn(() -> {
                final String id = rig.nextId("try");
                final long sentAt = rig.ms();
                final Rig.Reply reply = post(socket, id);
                tries.add(new Try(id, sentAt, rig.ms(), reply));
                if (reply.status() != 200) {
                    rig.note("client: " + id + " sent " + (sentAt - stopAt) + " ms after the SIGTERM, "
                            + (rig.ms() - sentAt) + " ms later: " + reply);
                }
            }));
            Rig.pause(5);
        }
        for (final Thread client : clients) {
            client.join(DEADLINE_MS + 2500);
        }
        if (Rig.trouble()) {
            rig.awaitEnd(edge, Math.max(100, GRACE_MS - (rig.ms() - stopAt)));
        }
        int served = 0;
        int unanswered = 0;
        for (final Try one : tries) {
            served += one.reply().status() == 200 ? 1 : 0;
            final long tookMs = one.endedAt() - one.sentAt();
            final boolean passedOn = tills.stream()
                    .flatMap(till -> till.works.stream())
                    .anyMatch(work -> work.id.equals(one.id()) && work.endedAt != 0 && work.endedAt - stopAt < GRACE_MS * 5 / 6);
            if (one.reply().failure().startsWith("closed") && passedOn && tookMs > LOSS_SLACK_MS && tookMs < DEADLINE_MS) {
                unanswered++;
                rig.note("NO ANSWER: " + one.id() + " had been run; its connection ended " + tookMs + " ms of "
                        + DEADLINE_MS + " after it was sent, " + (one.endedAt() - stopAt) + " ms of " + GRACE_MS
                        + " after the SIGTERM");
            }
        }
        rig.note(served + " of " + REQUESTS + " served, " + unanswered + " passed on and ended without an answer");
        rig.end(unanswered > 0 ? 1 : served < REQUESTS / 2 ? 2 : 0);
    }
}
