import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

/**
 * A stand-in for an origin: works on as many requests as it has slots, queues a few more, stops the work on a request
 * whose connection closes, answers 421 to requests that name another life, and notes what it has run.
 */
final class Stand implements AutoCloseable {
    /** One request that this origin has begun to work on. {@code ended} is 0 while the work lasts. */
    static final class Work {
        final String id;
        final String key;
        final String line;
        final long begunAt;
        volatile long endedAt;
        volatile boolean droppedByCaller;
        volatile boolean answered;

        Work(final String id, final String key, final String line, final long begunAt) {
            this.id = id;
            this.key = key;
            this.line = line;
            this.begunAt = begunAt;
        }
    }

    final String id;
    final String service;
    private final Rig rig;
    private final ServerSocket listener;
    private final int slots;
    private final Semaphore free;
    private final AtomicInteger present = new AtomicInteger();
    private final AtomicLong calls = new AtomicLong();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    final List<Work> works = new CopyOnWriteArrayList<>();
    volatile Function<String, Long> workMs = path -> 40L;
    volatile Function<String, String> bodies = path -> "body of " + path;
    volatile Function<String, String> extraHeaders = path -> "";
    volatile boolean leaving;
    volatile boolean ended;
    private volatile boolean beating;

    Stand(final Rig rig, final String host, final String id, final String service, final int slots) throws IOException {
        this.rig = rig;
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.free = new Semaphore(slots, true);
        this.listener = new ServerSocket(0, 200, InetAddress.getByName(host));
        Rig.spawn(this::accept);
    }

    String path() {
        return "/api/instances/" + id;
    }

    String beat(final String state) {
        return "{\"backend_service\":\"" + service + "\",\"address\":\"" + listener.getInetAddress().getHostAddress()
                + ":" + listener.getLocalPort() + "\",\"zone\":\"zone1\",\"config_version\":\"v1\",\"slots\":" + slots
                + ",\"state\":\"" + state + "\",\"cold_remaining_ms\":0,\"call_sequence\":" + calls.incrementAndGet()
                + "}";
    }

    /** Announces itself until a node acknowledges it, then beats each 1.5 s. */
    void announce() {
        beating = true;
        rig.await("origin " + id + " announced", 20_000, () -> rig.control(1, "PUT", path(), beat("ready"), 3).status() == 200);
        Rig.spawn(() -> {
            int machine = 1;
            while (beating) {
                Rig.pause(1500);
                if (beating) {
                    rig.control(machine = machine % rig.shields() + 1, "PUT", path(), beat("ready"), 3);
                }
            }
        });
    }

    void stopBeats() {
        beating = false;
    }

    private void accept() {
        try {
            while (true) {
                final Socket socket = listener.accept();
                sockets.add(socket);
                Rig.spawn(() -> serve(socket));
            }
        } catch (final IOException e) {
            return;
        }
    }

    private void serve(final Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            final BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (serveOne(socket, in)) {
                socket.setSoTimeout(0);
            }
        } catch (final IOException e) {
            return;
        } finally {
            sockets.remove(socket);
        }
    }

    private boolean serveOne(final Socket socket, final BufferedInputStream in) throws IOException {
        final String head = head(in);
        if (head.isEmpty()) {
            return false;
        }
        final String[] lines = head.split("\r\n");
        final Map<String, String> headers = new HashMap<>();
        for (int i = 1; i < lines.length; i++) {
            final int colon = lines[i].indexOf(':');
            headers.put(lines[i].substring(0, colon).toLowerCase(Locale.ROOT), lines[i].substring(colon + 1).trim());
        }
        in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        final String attempt = headers.getOrDefault("x-attempt-id", "");
        final String path = lines[0].split(" ")[1];
        final String target = headers.get("x-target-instance");
        if (target != null && !id.equals(target)) {
            respond(socket, 421, attempt, "X-Not-Executed: 1\r\n", "");
            return true;
        }
        if (present.incrementAndGet() > 5 * slots) {
            present.decrementAndGet();
            respond(socket, 503, attempt, "X-Not-Executed: 1\r\n", "");
            return true;
        }
        boolean kept = false;
        Work work = null;
        try {
            while (!free.tryAcquire()) {
                if (isClosed(socket, in)) {
                    return false;
                }
            }
            try {
                work = new Work(attempt, headers.getOrDefault("x-operation-key", ""), lines[0], rig.ms());
                works.add(work);
                rig.note("origin " + id + " begins " + lines[0] + " id " + attempt
                        + (work.key.isEmpty() ? "" : " key " + work.key));
                final long until = System.nanoTime() + workMs.apply(path) * 1_000_000;
                kept = true;
                while (kept && System.nanoTime() < until) {
                    kept = !isClosed(socket, in);
                }
            } finally {
                free.release();
            }
        } finally {
            present.decrementAndGet();
            if (work != null) {
                work.endedAt = rig.ms();
                work.droppedByCaller = !kept && !ended;
                rig.note("origin " + id + (kept ? " has run " : ended ? " ends amid " : " is broken off at ") + attempt
                        + " after " + (work.endedAt - work.begunAt) + " ms");
            }
        }
        if (kept) {
            final String body = bodies.apply(path);
            respond(socket, 200, attempt, "X-Edge-Seal: " + id + "." + attempt + "\r\nX-Server-Load: "
                    + Math.min(slots, present.get()) + "," + Math.max(0, present.get() - slots) + "," + slots + "\r\n"
                    + extraHeaders.apply(path) + (leaving ? "Connection: close\r\n" : ""), body);
            work.answered = true;
        }
        return kept && !leaving;
    }

    private static boolean isClosed(final Socket socket, final BufferedInputStream in) {
        try {
            socket.setSoTimeout(10);
            in.mark(1);
            final int read = in.read();
            in.reset();
            return read < 0;
        } catch (final SocketTimeoutException e) {
            return false;
        } catch (final IOException e) {
            return true;
        }
    }

    static String head(final InputStream in) throws IOException {
        final ByteArrayOutputStream head = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            final int b = in.read();
            if (b < 0) {
                return "";
            }
            head.write(b);
            matched = b == "\r\n\r\n".charAt(matched) ? matched + 1 : b == '\r' ? 1 : 0;
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    private static void respond(
            final Socket socket, final int status, final String attempt, final String headers, final String body)
            throws IOException {
        socket.getOutputStream()
                .write(("HTTP/1.1 " + status + " X\r\nX-Attempt-Id: " + attempt + "\r\n" + headers + "Content-Length: "
                                + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Ends: its address refuses from now on, and its connections close. */
    @Override
    public void close() throws IOException {
        ended = true;
        beating = false;
        listener.close();
        for (final Socket socket : sockets) {
            socket.close();
        }
    }
}
