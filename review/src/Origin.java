import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/** One life of a stand-in origin: slots, a short queue, stamps, refusals that say so, and beats to the control nodes. */
final class Origin {
    /** A request as it came, and when it was begun. */
    record Asked(long at, String method, String path, Map<String, String> headers, byte[] body) {}

    /** An answer: null headers mean none of its own. */
    record Reply(int status, Map<String, String> headers, byte[] body) {}

    private static final int QUEUE = 4;
    private static final long BEAT_MS = 1500;
    private final Kit kit;
    private final String id;
    private final String service;
    private final String ip;
    private final int slots;
    private final ServerSocket server;
    private final Function<Asked, Reply> work;
    private final Semaphore free;
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicInteger sequence = new AtomicInteger();
    private final List<Asked> runs = new CopyOnWriteArrayList<>();
    private volatile boolean acknowledged;
    private volatile boolean beats = true;
    private volatile String state = "ready";
    private boolean quiet;
    /** While set, other callers hold all slots and the queue. */
    volatile boolean full;

    Origin(
            final Kit kit,
            final String id,
            final String service,
            final String ip,
            final int slots,
            final Function<Asked, Reply> work)
            throws IOException {
        this.kit = kit;
        this.id = id;
        this.service = service;
        this.ip = ip;
        this.slots = slots;
        this.work = work;
        this.free = new Semaphore(slots, true);
        this.server = new ServerSocket(0, 200, InetAddress.getByName(ip));
        daemon(this::accept);
    }

    private static void daemon(final Runnable task) {
        final Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** Neither records nor remembers what it runs. */
    Origin quiet() {
        quiet = true;
        return this;
    }

    String id() {
        return id;
    }

    boolean acknowledged() {
        return acknowledged;
    }

    List<Asked> runs() {
        return runs;
    }

    String address() {
        return ip + ":" + server.getLocalPort();
    }

    /** The body of the next beat. */
    String beat(final String state) {
        return "{\"backend_service\":\"" + service + "\",\"address\":\"" + address()
                + "\",\"zone\":\"kurasini\",\"config_version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"cold_remaining_ms\":0,\"call_sequence\":" + sequence.incrementAndGet() + "}";
    }

    void stopBeats() {
        beats = false;
    }

    /** Beats as the platform's origins do: to one control node, to the next where it does not acknowledge in time. */
    void beatOn() {
        daemon(() -> {
            int node = Math.floorMod(id.hashCode(), 3);
            while (beats) {
                try {
                    final Kit.Answer answer = Kit.call(
                            kit.shield(1 + node % 3),
                            Kit.CONTROL,
                            "PUT",
                            "/api/instances/" + id,
                            Map.of("Content-Type", "application/json"),
                            beat(state).getBytes(StandardCharsets.UTF_8),
                            1000);
                    acknowledged |= answer.status() / 100 == 2;
                    node += answer.status() / 100 == 2 ? 0 : 1;
                    Thread.sleep(answer.status() / 100 == 2 ? BEAT_MS : 100);
                } catch (final IOException e) {
                    node++;
                } catch (final InterruptedException e) {
                    return;
                }
            }
        });
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                final Socket socket = server.accept();
                daemon(() -> serve(socket));
            } catch (final IOException e) {
                return;
            }
        }
    }

    private void serve(final Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            final InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                final String[] first = Http.line(in).split(" ");
                final Map<String, String> headers = Http.headers(in);
                final byte[] body = Http.body(in, headers, false);
                final Reply reply = answer(first[0], first[1], headers, body);
                final Map<String, String> heads = new LinkedHashMap<>(reply.headers());
                if (headers.containsKey("x-attempt-id")) {
                    heads.put("X-Attempt-Id", headers.get("x-attempt-id"));
                }
                heads.put("Content-Length", String.valueOf(reply.body().length));
                final StringBuilder head = new StringBuilder("HTTP/1.1 " + reply.status() + " X\r\n");
                heads.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
                final OutputStream out = socket.getOutputStream();
                out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
                out.write(reply.body());
                out.flush();
            }
        } catch (final IOException e) {
            // The peer has closed the connection.
        }
    }

    private Reply refuse(final int status) {
        return new Reply(
                status,
                Map.of("X-Not-Executed", "1", "X-Server-Load", load()),
                new byte[0]);
    }

    private String load() {
        return full ? slots + "," + QUEUE + "," + slots : (slots - free.availablePermits()) + "," + waiting.get() + "," + slots;
    }

    private Reply answer(final String method, final String path, final Map<String, String> headers, final byte[] body) {
        if (path.equals("/health")) {
            return new Reply(200, Map.of("X-Instance-Id", id), new byte[0]);
        }
        if (!headers.containsKey("x-attempt-id")) {
            return refuse(400);
        }
        if (headers.containsKey("x-target-instance") && !id.equals(headers.get("x-target-instance"))) {
            return refuse(421);
        }
        if (full || waiting.incrementAndGet() > QUEUE) {
            if (!full) {
                waiting.decrementAndGet();
            }
            if (!quiet) {
                kit.say("origin " + id + " is full, turns away " + headers.get("x-attempt-id") + " " + path);
            }
            return refuse(503);
        }
        free.acquireUninterruptibly();
        waiting.decrementAndGet();
        try {
            final Asked asked = new Asked(kit.ms(), method, path, headers, body);
            if (!quiet) {
                runs.add(asked);
                kit.say("origin " + id + " runs " + headers.get("x-attempt-id") + " " + method + " " + path + " key="
                        + headers.getOrDefault("x-operation-key", "-"));
            }
            final Reply reply = work.apply(asked);
            final Map<String, String> heads = new LinkedHashMap<>(reply.headers());
            heads.put("X-Server-Load", load());
            return new Reply(reply.status(), heads, reply.body());
        } finally {
            free.release();
        }
    }
}
