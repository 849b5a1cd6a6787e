package org.rowanvalve.server.origin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A server on a bare socket: what it writes for each request, and when it resets, is the test's. */
public final class RawPeer implements AutoCloseable {
    private final ServerSocket door;
    private final Script scenario;
    private final boolean beforeBodies;
    private final List<Asked> asked = Collections.synchronizedList(new ArrayList<>());

    /** One request as it came in, on which connection, and as which of that connection's. */
    record Asked(String line, Map<String, String> heads, byte[] body, int connection, int turn) {}

    /** Writes to the connection; false ends it. */
    @FunctionalInterface
    interface Script {
        boolean answer(Asked asked, Socket connection) throws IOException;
    }

    RawPeer(final Script scenario) throws IOException {
        this(scenario, false);
    }

    /** {@code beforeBodies}: it answers once it has a request's head, and reads the body afterwards. */
    RawPeer(final Script scenario, final boolean beforeBodies) throws IOException {
        this.scenario = scenario;
        this.beforeBodies = beforeBodies;
        this.door = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        start("door", this::accept);
    }

    private static void start(final String name, final Runnable job) {
        final Thread thread = new Thread(job, "raw-peer-" + name);
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return door.getLocalPort();
    }

    List<Asked> asked() {
        synchronized (asked) {
            return List.copyOf(asked);
        }
    }

    private void accept() {
        for (int n = 0; ; n++) {
            try {
                final Socket connection = door.accept();
                connection.setTcpNoDelay(true);
                final int number = n;
                start("connection", () -> serve(connection, number));
            } catch (final IOException e) {
                return;
            }
        }
    }

    private void serve(final Socket connection, final int number) {
        try (connection) {
            final InputStream in = connection.getInputStream();
            for (int turn = 0; ; turn++) {
                final Asked one = read(in, number, turn);
                if (one == null) {
                    return;
                }
                asked.add(one);
                if (!scenario.answer(one, connection)) {
                    return;
                }
                if (beforeBodies) {
                    body(in, one.heads());
                }
            }
        } catch (final IOException e) {
            return;
        }
    }

    private static byte[] body(final InputStream in, final Map<String, String> heads) throws IOException {
        return in.readNBytes(Integer.parseInt(heads.getOrDefault("content-length", "0")));
    }

    private Asked read(final InputStream in, final int number, final int turn) throws IOException {
        final String head = head(in);
        if (head.isEmpty()) {
            return null;
        }
        final String[] lines = head.split("\r\n");
        final Map<String, String> heads = new TreeMap<>();
        for (int i = 1; i < lines.length; i++) {
            final int colon = lines[i].indexOf(':');
            heads.put(
                    lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).trim());
        }
        return new Asked(lines[0], heads, beforeBodies ? new byte[0] : body(in, heads), number, turn);
    }

    private static String head(final InputStream in) throws IOException {
        final ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            final int b = in.read();
            if (b < 0) {
                return "";
            }
            head.write(b);
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    /** The peer sees a reset, not an end. */
    public static boolean reset(final Socket connection) throws IOException {
        connection.setSoLinger(true, 0);
        connection.close();
        return false;
    }

    @Override
    public void close() throws IOException {
        door.close();
    }
}
