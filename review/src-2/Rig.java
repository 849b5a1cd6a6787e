import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Starts the project's processes by the commands of the deploy file, with settings of a small deployment, on loopback
 * addresses, and speaks to them as the platform does. It writes the record of a case and ends every process that it started.
 */
final class Rig implements AutoCloseable {
    static final int CONTROL = 8146;
    static final int FRONT = 8144;
    static final int READINESS = 8140;

    /** An answer, or why there was none: status 0. */
    record Reply(int status, Map<String, String> headers, String body, String failure) {
        static Reply none(final String why) {
            return new Reply(0, Map.of(), "", why);
        }

        String header(final String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        @Override
        public String toString() {
            return status == 0 ? failure : status + " " + (body.length() > 160 ? body.substring(0, 160) + "..." : body);
        }
    }

    private final Path root = Path.of("").toAbsolutePath();
    private final Path dir;
    private final String net;
    private final int shields;
    private final PrintWriter record;
    private final long begun = System.nanoTime();
    private final Map<Integer, Process> processes = new LinkedHashMap<>();
    private final Map<String, Object> bounds = new LinkedHashMap<>(Map.of(
            "key_window_s", 60, "retry_budget_ratio", 0.2, "retry_budget_slack", 58, "purge_ms", 2000,
            "config_apply_ms", 2500, "drain_timeout_ms", 2500, "grace_period_s", 6));
    private long ids;

    /** {@code folder}: the folder of the case, which gets record.txt. */
    Rig(final String folder, final int shields) throws IOException {
        this.shields = shields;
        dir = Files.createTempDirectory("case");
        final long pid = ProcessHandle.current().pid();
        net = "127." + (100 + pid % 100) + "." + (1 + pid / 100 % 250) + ".";
        record = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    String at(final int machine) {
        return net + machine;
    }

    int shields() {
        return shields;
    }

    long ms() {
        return (System.nanoTime() - begun) / 1_000_000;
    }

    synchronized void note(final String text) {
        record.printf("%7d ms  %s%n", ms(), text);
    }

    static void pause(final long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread spawn(final Runnable job) {
        final Thread thread = new Thread(job);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    boolean isEdge(final int machine) {
        return machine > shields;
    }

    private Map<String, Object> fields(final int machine, final boolean first) {
        final boolean edge = isEdge(machine);
        final Map<String, Object> f = new LinkedHashMap<>();
        f.put("ip_address", at(machine));
        f.put("zone", "zone" + machine % 4);
        f.put("region", "dar");
        final Map<String, Object> zones = new LinkedHashMap<>();
        for (int i = 0; i < 4; i++) {
            zones.put("zone" + i, "dar");
        }
        f.put("zones", zones);
        final Map<String, Object> listen = new LinkedHashMap<>();
        if (edge) {
            listen.put("front", at(machine) + ":" + FRONT);
            listen.put("readiness", at(machine) + ":" + READINESS);
        } else {
            listen.put("control_plane", at(machine) + ":" + CONTROL);
        }
        f.put("listen_addresses", listen);
        f.put("internal_port_range", List.of(7660, 7675));
        f.put("seed_nodes", List.of(at(1) + ":" + CONTROL, at(2) + ":" + CONTROL, at(3) + ":" + CONTROL));
        f.put("first_boot", first);
        f.put("data_directory", edge ? null : dir.resolve("data" + machine).toString());
        f.put("limits", Map.of("file_descriptors", edge ? 3000 : 4096));
        f.put("fault_tolerance", Map.of("machines", 1));
        f.put("bounds", bounds);
        return f;
    }

    /** Lays out the settings file of a machine anew, whole at once, as the platform does when the settings change. */
    Path layOut(final int machine, final boolean first) throws IOException {
        final Path next = dir.resolve("next" + machine);
        Files.writeString(
                next, Template.fill(Files.readString(root.resolve("deploy/node.json")), fields(machine, first)));
        return Files.move(next, dir.resolve("node" + machine + ".json"), StandardCopyOption.ATOMIC_MOVE);
    }

    /** Starts the process of a machine with the command of its role; shields have the numbers from 1 on. */
    void start(final int machine, final boolean first) throws IOException {
        final String role = isEdge(machine) ? "edge" : "shield";
        final Path file = layOut(machine, first);
        if (!isEdge(machine)) {
            Files.createDirectories(dir.resolve("data" + machine));
        }
        final String run = Files.readString(root.resolve("deploy/system.toml"))
                .split("\\[roles\\." + role + "\\]")[1].split("run = \"")[1].split("\"")[0];
        final ProcessBuilder builder = new ProcessBuilder(Arrays.asList(run.split(" ")));
        builder.environment().put("ROWANVALVE_NODE_FILE", file.toString());
        builder.environment().keySet().removeIf(name -> name.startsWith("JAVA_TOOL") || name.startsWith("JDK_JAVA"));
        processes.put(
                machine,
                builder.directory(root.toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(
                                dir.resolve("log" + machine).toFile()))
                        .start());
        note("start of " + role + " " + machine);
    }

    void startAll(final int edges) throws IOException {
        for (int i = 1; i <= shields + edges; i++) {
            start(i, true);
        }
    }

    void signal(final int machine, final String name) {
        note("SIG" + name + " to " + (isEdge(machine) ? "edge " : "shield ") + machine);
        try {
            new ProcessBuilder("kill", "-" + name, String.valueOf(processes.get(machine).pid())).start().waitFor();
        } catch (final IOException | InterruptedException e) {
            note("no signal: " + e);
        }
    }

    boolean awaitEnd(final int machine, final long ms) throws InterruptedException {
        final boolean ended = processes.get(machine).waitFor(ms, TimeUnit.MILLISECONDS);
        note("process of machine " + machine + (ended ? " has ended" : " still runs"));
        return ended;
    }

    boolean alive(final int machine) {
        return processes.get(machine).isAlive();
    }

    /** Lines of a machine's log that hold one of the words. */
    List<String> log(final int machine, final String... words) throws IOException {
        final List<String> found = new ArrayList<>();
        final Path log = dir.resolve("log" + machine);
        if (Files.exists(log)) {
            for (final String line : Files.readString(log).split("\n")) {
                if (Arrays.stream(words).anyMatch(line::contains)) {
                    found.add(line);
                }
            }
        }
        return found;
    }

    /** One call on a connection of its own. */
    static Reply call(
            final String address, final String method, final String path, final String body, final long timeoutMs,
            final String... headers) {
        final int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    (int) Math.min(1000, timeoutMs));
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) timeoutMs);
            final StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            boolean host = false;
            for (int i = 0; i < headers.length; i += 2) {
                head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
                host |= headers[i].equals("Host");
            }
            if (!host) {
                head.append("Host: ").append(address).append("\r\n");
            }
            if (body != null) {
                head.append("Content-Length: ").append(body.length()).append("\r\n");
            }
            head.append("\r\n").append(body == null ? "" : body);
            socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            return read(socket.getInputStream());
        } catch (final SocketTimeoutException e) {
            return Reply.none("no answer in " + timeoutMs + " ms");
        } catch (final IOException e) {
            return Reply.none("closed: " + e.getMessage());
        }
    }

    static Reply read(final InputStream in) throws IOException {
        final String head = Stand.head(in);
        if (head.isEmpty()) {
            return Reply.none("closed without an answer");
        }
        final String[] lines = head.split("\r\n");
        final Map<String, String> headers = new TreeMap<>();
        for (int i = 1; i < lines.length; i++) {
            final int colon = lines[i].indexOf(':');
            headers.put(lines[i].substring(0, colon).toLowerCase(Locale.ROOT), lines[i].substring(colon + 1).trim());
        }
        final int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        final byte[] body = in.readNBytes(length);
        if (body.length < length) {
            return Reply.none("closed within an answer");
        }
        return new Reply(
                Integer.parseInt(lines[0].split(" ")[1]), headers, new String(body, StandardCharsets.ISO_8859_1), "");
    }

    /** A call to {@code control} as its callers make it: a second for an answer, then the next node. */
    Reply control(final int firstMachine, final String method, final String path, final String body, final int tries) {
        Reply reply = Reply.none("not sent");
        for (int i = 0; i < tries; i++) {
            final int machine = (firstMachine - 1 + i) % shields + 1;
            reply = call(at(machine) + ":" + CONTROL, method, path, body, 1000, "Content-Type", "application/json");
            if (reply.status() >= 200 && reply.status() < 300) {
                return reply;
            }
            pause(100 + 50L * i);
        }
        return reply;
    }

    String nextId(final String kind) {
        synchronized (this) {
            return kind + "-" + ++ids;
        }
    }

    /** A client's try at an edge. */
    Reply ask(
            final int edge, final String method, final String path, final String body, final long deadlineMs,
            final String id, final String... headers) {
        final String[] all = new String[headers.length + 6];
        System.arraycopy(
                new String[] {"Host", "shop.example", "X-Attempt-Id", id, "X-Deadline-Remaining", "" + deadlineMs},
                0, all, 0, 6);
        System.arraycopy(headers, 0, all, 6, headers.length);
        return call(at(edge) + ":" + FRONT, method, path, body, deadlineMs + 1500, all);
    }

    @FunctionalInterface
    interface Check {
        boolean holds();
    }

    /** Ends the case with 2 where it does not come to hold: the case could not run. */
    void await(final String what, final long ms, final Check check) {
        final long until = System.nanoTime() + ms * 1_000_000;
        while (!check.holds()) {
            if (System.nanoTime() > until) {
                note("the case could not run: no " + what + " within " + ms + " ms");
                end(2);
            }
            pause(50);
        }
        note(what + ": yes");
    }

    /** Applies a configuration and waits until all edges are ready. */
    void configure(final String configuration, final int edges) {
        await("shields that answer", 40_000, () -> {
            for (int i = 1; i <= shields; i++) {
                if (call(at(i) + ":" + CONTROL, "GET", "/api/config", null, 1000).status() != 200) {
                    return false;
                }
            }
            return true;
        });
        await("configuration", 20_000, () -> control(1, "PATCH", "/api/config", configuration, 1).status() == 200);
        await("ready edges", 30_000, () -> {
            for (int i = shields + 1; i <= shields + edges; i++) {
                if (call(at(i) + ":" + READINESS, "GET", "/api/readiness", null, 1000).status() != 200) {
                    return false;
                }
            }
            return true;
        });
    }

    void end(final int code) {
        note("exit " + code);
        close();
        Runtime.getRuntime().halt(code);
    }

    private boolean closed;

    @Override
    public synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        processes.values().forEach(Process::destroyForcibly);
        processes.values().forEach(process -> {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (final InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        record.flush();
        if (System.getenv("KEEP") != null) {
            System.out.println("kept " + dir);
            return;
        }
        try (Stream<Path> paths = Files.walk(dir)) {
            for (final Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        } catch (final IOException e) {
            record.println("the temporary folder stays: " + e);
        }
    }

    /** Fills a settings template as the page on the deploy file describes it. */
    static final class Template {
        private Template() {}

        static String fill(final String text, final Map<String, Object> fields) {
            return fill(text, new ArrayList<>(List.of(fields)), null, true);
        }

        private static String fill(
                final String text, final List<Object> scopes, final Object key, final boolean isLast) {
            final StringBuilder out = new StringBuilder();
            int at = 0;
            while (true) {
                final int open = text.indexOf("{{", at);
                if (open < 0) {
                    return out.append(text.substring(at)).toString();
                }
                out.append(text, at, open);
                final int close = text.indexOf("}}", open);
                final String word = text.substring(open + 2, close);
                at = close + 2;
                if (word.startsWith("#") || word.startsWith("^")) {
                    final String name = word.substring(1);
                    final String endMark = "{{/" + name + "}}";
                    final int end = text.indexOf(endMark, at);
                    final String inner = text.substring(at, end);
                    at = end + endMark.length();
                    final Object value = look(name, scopes);
                    final boolean absent = value == null || value.equals(false);
                    if (word.startsWith("^")) {
                        out.append(absent ? fill(inner, scopes, key, isLast) : "");
                    } else if (value instanceof Map<?, ?> map) {
                        int n = 0;
                        for (final Map.Entry<?, ?> entry : map.entrySet()) {
                            out.append(each(inner, scopes, entry.getKey(), entry.getValue(), ++n == map.size()));
                        }
                    } else if (value instanceof List<?> list) {
                        for (int i = 0; i < list.size(); i++) {
                            out.append(each(inner, scopes, i, list.get(i), i == list.size() - 1));
                        }
                    } else if (!absent) {
                        out.append(fill(inner, scopes, key, isLast));
                    }
                } else if (word.equals(",")) {
                    out.append(isLast ? "" : ",");
                } else if (word.equals("@")) {
                    out.append(key);
                } else if (word.endsWith("|json")) {
                    out.append(json(look(word.substring(0, word.length() - 5), scopes)));
                } else {
                    final Object value = look(word, scopes);
                    out.append(value == null ? "" : value instanceof Map || value instanceof List ? json(value) : value);
                }
            }
        }

        private static String each(
                final String inner, final List<Object> scopes, final Object key, final Object value,
                final boolean isLast) {
            final List<Object> deeper = new ArrayList<>(scopes);
            deeper.add(0, value);
            return fill(inner, deeper, key, isLast);
        }

        private static Object look(final String name, final List<Object> scopes) {
            if (name.equals(".")) {
                return scopes.get(0);
            }
            for (final Object scope : scopes) {
                Object value = scope;
                for (final String part : name.split("\\.")) {
                    value = value instanceof Map<?, ?> map
                            ? map.get(part)
                            : value instanceof List<?> list && part.matches("[0-9]+")
                                    ? list.get(Integer.parseInt(part))
                                    : null;
                }
                if (value != null) {
                    return value;
                }
            }
            return null;
        }

        private static String json(final Object value) {
            if (value instanceof Map<?, ?> map) {
                final List<String> parts = new ArrayList<>();
                map.forEach((k, v) -> parts.add(json(String.valueOf(k)) + ":" + json(v)));
                return "{" + String.join(",", parts) + "}";
            }
            if (value instanceof List<?> list) {
                return "[" + String.join(",", list.stream().map(Template::json).toList()) + "]";
            }
            return value instanceof String text ? "\"" + text + "\"" : String.valueOf(value);
        }
    }

    /** A relay on a loopback address that holds back the bytes of its callers for a while. */
    static final class SlowRelay implements AutoCloseable {
        private final ServerSocket listener;

        SlowRelay(final String host, final String target, final long delayMs) throws IOException {
            listener = new ServerSocket(0, 50, InetAddress.getByName(host));
            spawn(() -> {
                try {
                    while (true) {
                        final Socket in = listener.accept();
                        spawn(() -> relay(in, target, delayMs));
                    }
                } catch (final IOException e) {
                    return;
                }
            });
        }

        String address() {
            return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
        }

        private static void relay(final Socket in, final String target, final long delayMs) {
            final int colon = target.lastIndexOf(':');
            try (in; Socket out = new Socket()) {
                final ByteArrayOutputStream held = new ByteArrayOutputStream();
                in.setSoTimeout((int) delayMs);
                final long until = System.nanoTime() + delayMs * 1_000_000;
                final byte[] buffer = new byte[8192];
                try {
                    while (System.nanoTime() < until) {
                        final int n = in.getInputStream().read(buffer);
                        if (n < 0) {
                            break;
                        }
                        held.write(buffer, 0, n);
                        in.setSoTimeout((int) Math.max(1, (until - System.nanoTime()) / 1_000_000));
                    }
                } catch (final SocketTimeoutException e) {
                    in.setSoTimeout(0);
                }
                pause(Math.max(0, (until - System.nanoTime()) / 1_000_000));
                out.connect(new InetSocketAddress(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1))));
                out.getOutputStream().write(held.toByteArray());
                out.setSoTimeout(3000);
                final int n = out.getInputStream().read(buffer);
                if (n > 0) {
                    in.getOutputStream().write(buffer, 0, n);
                }
            } catch (final IOException e) {
                return;
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }
}
