package org.rowanvalve.server;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.Role;
import org.rowanvalve.data.ClientRequest;

/** Lets a rehearsal's requests run through this role's own way: an edge's door, or a shield's client for origins. */
final class Warmup {
    private static final int ROUNDS = 320;
    private static final long SPAN = 2500;
    private final Options options;
    private final Program.Faces faces;

    Warmup(final Options options, final Program.Faces faces) {
        this.options = options;
        this.faces = faces;
    }

    /** How many requests were rehearsed, none by a process that returns; whatever goes wrong here is of no consequence. */
    int run(final ProcessComponent all) throws InterruptedException {
        if (!options.learns() || !options.first() || options.role() == Role.STORE) {
            return 0;
        }
        try {
            return options.role() == Role.EDGE ? edge(all.net()) : shield(all.client());
        } catch (final IOException | RuntimeException e) {
            return -1;
        }
    }

    private int edge(final Net net) throws IOException, InterruptedException {
        final Rehearsal play = new Rehearsal(options, faces.dialect(), l -> null, SPAN);
        try {
            if (!play.prepare(1)) {
                return 0;
            }
            final Server server = Addresses.server("rehearsal");
            final int port = open(server, faces.door(new Program.Ends(play.loop(), play.edge(), net, options)));
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress("127.0.0.1", port), 200);
                s.setSoTimeout(200);
                s.setTcpNoDelay(true);
                final DataInputStream in = new DataInputStream(s.getInputStream());
                return play.play(ROUNDS, (ask, then) -> {
                    s.getOutputStream().write(text(ask));
                    skip(in);
                    then.run();
                });
            } finally {
                stop(server);
            }
        } finally {
            play.end();
        }
    }

    private int shield(final HttpClient http) throws IOException, InterruptedException {
        final Server server = Addresses.server("rehearsal");
        final int port = open(server, new Origin());
        final Rehearsal play =
                new Rehearsal(options, faces.dialect(), l -> new OriginPort(l, http, faces.dialect()), SPAN);
        try {
            return play.prepare(port)
                    ? play.play(
                            ROUNDS,
                            (ask, then) ->
                                    play.loop().post(() -> play.edge().edge().take(ask, a -> then.run())))
                    : 0;
        } finally {
            play.end();
            stop(server);
        }
    }

    private static int open(final Server server, final Handler handler) throws IOException {
        final Addresses one = new Addresses(server);
        server.setHandler(one);
        Program.open(server, "rehearsal");
        return one.open("rehearsal address ", Rehearsal.inside(), handler);
    }

    private static void stop(final Server server) throws IOException {
        try {
            server.stop();
        } catch (final Exception e) {
            throw new IOException(e);
        }
    }

    private byte[] text(final ClientRequest a) {
        final StringBuilder own = new StringBuilder();
        faces.stated(a).forEach((k, v) -> own.append(k).append(": ").append(v).append("\r\n"));
        final String head = a.method() + " " + a.path() + " HTTP/1.1\r\nHost: " + a.host() + "\r\n" + own
                + (a.key() == null
                        ? ""
                        : "Content-Type: " + a.type() + "\r\nContent-Length: " + a.body().length + "\r\n")
                + "Accept: */*\r\n\r\n";
        final byte[] b = head.getBytes(StandardCharsets.ISO_8859_1);
        return ByteBuffer.allocate(b.length + a.body().length)
                .put(b)
                .put(a.body())
                .array();
    }

    private static void skip(final DataInputStream in) throws IOException {
        int length = 0;
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            if (line.regionMatches(true, 0, "content-length:", 0, 15)) {
                length = Integer.parseInt(line.substring(15).trim());
            }
        }
        in.skipNBytes(length);
    }

    private static String line(final InputStream in) throws IOException {
        final StringBuilder b = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new IOException("cut short");
            }
            if (c != '\r') {
                b.append((char) c);
            }
        }
        return b.toString();
    }

    private final class Origin extends Handler.Abstract {
        @Override
        public boolean handle(final Request req, final Response res, final Callback done) {
            faces.dialect()
                    .rehearsed(n -> String.valueOf(req.getHeaders().get(n)))
                    .forEach((k, v) -> res.getHeaders().put(k, v));
            res.write(true, ByteBuffer.allocate(6000), done);
            return true;
        }
    }
}
