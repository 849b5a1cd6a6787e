import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 over sockets of its own, for clients, the operator and stand-in origins. */
final class Http {
    private Http() {}

    static Kit.Answer call(
            final String ip,
            final int port,
            final String method,
            final String path,
            final Map<String, String> headers,
            final byte[] body,
            final int timeoutMs)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), Math.min(1000, timeoutMs));
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            final StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            if (!headers.containsKey("Host")) {
                head.append("Host: ").append(ip).append(':').append(port).append("\r\n");
            }
            headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
            if (body != null) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            head.append("Connection: close\r\n\r\n");
            final OutputStream out = socket.getOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            if (body != null) {
                out.write(body);
            }
            out.flush();
            return readAnswer(new BufferedInputStream(socket.getInputStream()), method);
        }
    }

    static Kit.Answer readAnswer(final InputStream in, final String method) throws IOException {
        final String first = line(in);
        final int status = Integer.parseInt(first.split(" ")[1]);
        final Map<String, String> headers = headers(in);
        if (status == 100) {
            return readAnswer(in, method);
        }
        final byte[] body = method.equals("HEAD") || status == 204 || status == 304 ? new byte[0] : body(in, headers, true);
        return new Kit.Answer(status, headers, body);
    }

    static Map<String, String> headers(final InputStream in) throws IOException {
        final Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            final int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return headers;
    }

    static byte[] body(final InputStream in, final Map<String, String> headers, final boolean answer)
            throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            final ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int size = Integer.parseInt(line(in).split(";")[0].trim(), 16); size > 0; ) {
                all.write(in.readNBytes(size));
                line(in);
                size = Integer.parseInt(line(in).split(";")[0].trim(), 16);
            }
            while (!line(in).isEmpty()) {
                continue;
            }
            return all.toByteArray();
        }
        if (headers.containsKey("content-length")) {
            final int length = Integer.parseInt(headers.get("content-length"));
            final byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) {
                throw new EOFException("body cut short");
            }
            return bytes;
        }
        return answer ? in.readAllBytes() : new byte[0];
    }

    static String line(final InputStream in) throws IOException {
        final ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("connection ended");
            }
            if (c != '\r') {
                out.write(c);
            }
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }
}
