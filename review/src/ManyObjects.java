import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** An edge serves many pages that bear many tags, at the site's rate; then it is asked for a few of them again. */
final class ManyObjects {
    private static final int MOST = 12_000;
    private static final int FEW = 1_000;
    private static final int TAGS = 150;
    private static final int BODY = 1500;
    private static final int CLIENTS = 16;
    private static final int PER_S = 400;
    private static final long FILL_MS = 55_000;
    private static final int TIMEOUT_MS = 1200;
    private static final int AFTER_MS = 500;
    private static final int CHECKS = 8;

    private ManyObjects() {}

    public static void main(final String[] args) throws Exception {
        Kit.main(Path.of(args[0]), 4, 1, ManyObjects::run);
    }

    /** A page that lists products, with a tag for each of them. */
    private static Origin.Reply page(final Origin.Asked asked) {
        final int number = Integer.parseInt(asked.path().substring(6));
        final StringBuilder tags = new StringBuilder("all");
        for (int i = 1; i < TAGS; i++) {
            tags.append(" p").append((number * 37 + i * 101) % 20_000);
        }
        final Map<String, String> heads = new LinkedHashMap<>();
        heads.put("X-Edge-Seal", "3e1b.07.5a2.600.0.c9f2a4d1");
        heads.put("ETag", "\"" + number + "\"");
        heads.put("Content-Type", "text/html");
        heads.put("X-Object-Tags", tags.toString());
        return new Origin.Reply(200, heads, new byte[BODY]);
    }

    private static void pace(final Kit kit, final long begun, final int sent) {
        try {
            kit.sleepUntil(begun + sent * 1000L / PER_S);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** What the reading clients saw. {@code late}: answered after the route's time; {@code overdue}: not at all. */
    private static final class Seen {
        private final AtomicInteger sent = new AtomicInteger();
        private final AtomicInteger served = new AtomicInteger();
        private final AtomicInteger late = new AtomicInteger();
        private final AtomicInteger overdue = new AtomicInteger();
        private final AtomicInteger refused = new AtomicInteger();

        @Override
        public String toString() {
            return sent + " sent, " + served + " served with 200, " + late + " answered later than timeout_ms, " + overdue
                    + " without any answer " + AFTER_MS + " ms after it, " + refused + " connections not opened or ended";
        }
    }

    /** One request on an open connection. */
    private static void read(final Kit kit, final Socket socket, final InputStream in, final int number, final int objects, final Seen seen)
            throws IOException {
        socket.getOutputStream()
                .write(("GET /page/" + number % objects + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: f" + number
                                + "\r\nX-Deadline-Remaining: 3000\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        final long sentAt = kit.ms();
        try {
            seen.served.addAndGet(Kit.readAnswer(in, "GET").status() == 200 ? 1 : 0);
            seen.late.addAndGet(kit.ms() - sentAt > TIMEOUT_MS ? 1 : 0);
        } catch (final SocketTimeoutException e) {
            if (seen.overdue.incrementAndGet() <= 40) {
                kit.say("CONFIG: request f" + number + ", sent at " + sentAt + ", has no answer " + (kit.ms() - sentAt)
                        + " ms later; timeout_ms is " + TIMEOUT_MS);
            }
            throw e;
        }
    }

    private static void fill(final Kit kit, final int objects, final Seen seen) {
        final long begun = kit.ms();
        final long end = begun + FILL_MS;
        final List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            final Thread thread = new Thread(() -> {
                while (kit.ms() < end && seen.sent.get() < MOST) {
                    try (Socket socket = new Socket()) {
                        socket.connect(new InetSocketAddress(kit.edge(1), Kit.FRONT), 1000);
                        socket.setTcpNoDelay(true);
                        socket.setSoTimeout(TIMEOUT_MS + AFTER_MS);
                        final InputStream in = new BufferedInputStream(socket.getInputStream());
                        while (kit.ms() < end && seen.sent.get() < MOST) {
                            pace(kit, begun, seen.sent.get());
                            read(kit, socket, in, seen.sent.incrementAndGet(), objects, seen);
                        }
                    } catch (final SocketTimeoutException e) {
                        continue;
                    } catch (final IOException e) {
                        seen.refused.incrementAndGet();
                    }
                }
            });
            thread.start();
            threads.add(thread);
        }
        long told = kit.ms();
        for (final Thread thread : threads) {
            while (thread.isAlive()) {
                try {
                    thread.join(500);
                } catch (final InterruptedException e) {
                    return;
                }
                if (kit.ms() - told > 5000) {
                    told = kit.ms();
                    kit.say(seen.toString());
                }
            }
        }
        kit.say(seen.toString());
    }

    private static boolean run(final Kit kit) throws Exception {
        final List<Origin> origins = List.of(
                new Origin(kit, "i-shelf1", "shelf", kit.at(101), 32, ManyObjects::page).quiet(),
                new Origin(kit, "i-shelf2", "shelf", kit.at(102), 32, ManyObjects::page).quiet());
        kit.startAll(Sites.shelf("shop.example", 40, "00000007").replace(",300.0,", ",null,"), origins);
        final Seen seen = new Seen();
        final int objects = kit.trouble ? MOST : FEW;
        kit.say(PER_S + " reads a second of " + objects + " pages with " + TAGS + " tags each, through one edge");
        fill(kit, objects, seen);
        Thread.sleep(3000);
        int unserved = 0;
        for (int i = 0; i < CHECKS; i++) {
            unserved += kit.client(1, "shop.example", "GET", "/page/" + (i + 1), TIMEOUT_MS, Map.of(), null).status() == 200
                    ? 0
                    : 1;
        }
        kit.say("the edge's process " + (kit.process(kit.edge(1)).isAlive() ? "runs" : "has ended") + "; afterwards "
                + unserved + " of " + CHECKS + " requests are not served");
        kit.log(kit.edge(1)).lines().filter(line -> line.contains("OutOfMemory")).limit(3).forEach(kit::say);
        final int overdue = seen.overdue.get();
        if (overdue == 0 && seen.served.get() < seen.sent.get() / 2) {
            throw new Kit.CannotRun("the pages were not served");
        }
        return overdue >= 8 && overdue * 4 > overdue + seen.late.get();
    }
}
