package org.rowanvalve.server.process;

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
import org.rowanvalve.common.model.Role;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.data.request.ClientRequest;
import org.rowanvalve.server.http.HttpAddresses;
import org.rowanvalve.server.options.Options;
import org.rowanvalve.server.origin.HttpOriginTransport;

/**
 * Sends warm-up requests through this role's own interfaces: an edge's client address, or a shield's client for
 * origins.
 */
final class WarmupRequests {
    private static final int ROUNDS = 320;
    private static final long MAX_DURATION_MS = 2500;
    private final Options options;
    private final Program.Frontends frontends;

    WarmupRequests(final Options options, final Program.Frontends frontends) {
        this.options = options;
        this.frontends = frontends;
    }

    /**
     * Returns the number of warm-up requests that completed, or -1 after a failure, which is harmless. A store, a
     * process that rejoins a running network and a process whose voters are configured send none.
     */
    int run(final ProcessComponent components) throws InterruptedException {
        if (!options.votersAreLearned() || !options.firstBoot() || options.role() == Role.STORE) {
            return 0;
        }
        try {
            return options.role() == Role.EDGE ? warmUpEdge(components.net()) : warmUpShield(components.client());
        } catch (final IOException | RuntimeException e) {
            return -1;
        }
    }

    private int warmUpEdge(final Transport transport) throws IOException, InterruptedException {
        final InProcessWarmup warmup =
                new InProcessWarmup(options, frontends.originProtocol(), loop -> null, MAX_DURATION_MS);
        try {
            if (!warmup.prepare(1)) {
                return 0;
            }
            final Server server = HttpAddresses.server("rehearsal");
            final int port = open(
                    server,
                    frontends.clientHandler(
                            new Program.ProcessContext(warmup.loop(), warmup.edge(), transport, options)));
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", port), 200);
                socket.setSoTimeout(200);
                socket.setTcpNoDelay(true);
                final DataInputStream input = new DataInputStream(socket.getInputStream());
                return warmup.sendRequests(ROUNDS, (request, onResponse) -> {
                    socket.getOutputStream().write(encodeRequest(request));
                    discardResponse(input);
                    onResponse.run();
                });
            } finally {
                stop(server);
            }
        } finally {
            warmup.stop();
        }
    }

    private int warmUpShield(final HttpClient http) throws IOException, InterruptedException {
        final Server server = HttpAddresses.server("rehearsal");
        final int port = open(server, new Origin());
        final InProcessWarmup warmup = new InProcessWarmup(
                options,
                frontends.originProtocol(),
                loop -> new HttpOriginTransport(loop, http, frontends.originProtocol()),
                MAX_DURATION_MS);
        try {
            return warmup.prepare(port)
                    ? warmup.sendRequests(
                            ROUNDS,
                            (request, onResponse) -> warmup.loop()
                                    .execute(() -> warmup.edge().edge().handle(request, response -> onResponse.run())))
                    : 0;
        } finally {
            warmup.stop();
            stop(server);
        }
    }

    private static int open(final Server server, final Handler handler) throws IOException {
        final HttpAddresses addresses = new HttpAddresses(server);
        server.setHandler(addresses);
        Program.startServer(server, "rehearsal");
        return addresses.open("rehearsal address ", InProcessWarmup.anyLocalPort(), handler);
    }

    private static void stop(final Server server) throws IOException {
        try {
            server.stop();
        } catch (final Exception e) {
            throw new IOException(e);
        }
    }

    private byte[] encodeRequest(final ClientRequest request) {
        final StringBuilder headers = new StringBuilder();
        frontends
                .requestHeaders(request)
                .forEach((k, v) -> headers.append(k).append(": ").append(v).append("\r\n"));
        final String head =
                request.method() + " " + request.path() + " HTTP/1.1\r\nHost: " + request.host() + "\r\n" + headers
                        + (request.key() == null
                                ? ""
                                : "Content-Type: " + request.contentType() + "\r\nContent-Length: "
                                        + request.body().length + "\r\n")
                        + "Accept: */*\r\n\r\n";
        final byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        return ByteBuffer.allocate(headBytes.length + request.body().length)
                .put(headBytes)
                .put(request.body())
                .array();
    }

    private static void discardResponse(final DataInputStream input) throws IOException {
        int length = 0;
        for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
            if (line.regionMatches(true, 0, "content-length:", 0, 15)) {
                length = Integer.parseInt(line.substring(15).trim());
            }
        }
        input.skipNBytes(length);
    }

    private static String readLine(final InputStream input) throws IOException {
        final StringBuilder line = new StringBuilder();
        for (int c = input.read(); c != '\n'; c = input.read()) {
            if (c < 0) {
                throw new IOException("connection closed within the response headers");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    private final class Origin extends Handler.Abstract {
        @Override
        public boolean handle(final Request request, final Response response, final Callback callback) {
            frontends
                    .originProtocol()
                    .warmupHeaders(n -> String.valueOf(request.getHeaders().get(n)))
                    .forEach((k, v) -> response.getHeaders().put(k, v));
            response.write(true, ByteBuffer.allocate(InProcessWarmup.RESPONSE_BYTES), callback);
            return true;
        }
    }
}
