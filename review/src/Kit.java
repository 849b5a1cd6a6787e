import java.io.BufferedWriter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * One run of a case: the project's programs as processes, started by the commands of deploy/system.toml with settings
 * filled from deploy/node.json, each on a loopback address of its own; a client and an operator; and the record.
 */
final class Kit implements AutoCloseable {
    static final int CONTROL = 8146;
    static final int FRONT = 8144;
    static final int READY = 8140;
    private static final int WIRE = 7660;
    private static final int WIRE_LAST = 7675;
    private static final Map<String, String> ZONES = zones();

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path repo;
    private final Path dir;
    private final String net;
    private final BufferedWriter record;
    private final long begun = System.nanoTime();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final AtomicInteger tries = new AtomicInteger();
    private final int shields;
    private final int edges;
    private boolean firstBoot = true;

    /** A case that could not be run: its precondition did not come about. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1L;

        CannotRun(final String why) {
            super(why);
        }
    }

    record Answer(int status, Map<String, String> headers, byte[] body) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        String header(final String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String seal() {
            return header("x-edge-seal");
        }
    }

    @FunctionalInterface
    interface Body {
        /** Whether the rule was broken. */
        boolean run(Kit kit) throws Exception;
    }

    /** Runs a case and ends the process: 1 where the rule was broken, 0 where it held, 2 where it could not run. */
    static void main(final Path folder, final int shields, final int edges, final Body body) throws IOException {
        int code = 2;
        try (Kit kit = new Kit(folder, shields, edges)) {
            Runtime.getRuntime().addShutdownHook(new Thread(kit::endProcesses));
            try {
                kit.say("trouble " + (kit.trouble ? "yes" : "no"));
                code = body.run(kit) ? 1 : 0;
            } catch (final Exception e) {
                kit.say("could not run: " + e);
                e.printStackTrace();
            }
            kit.say(code == 1 ? "RULE BROKEN" : code == 0 ? "rule held" : "not run");
        }
        System.exit(code);
    }

    private Kit(final Path folder, final int shields, final int edges) throws IOException {
        this.repo = folder.toAbsolutePath().normalize().getParent().getParent();
        this.dir = Files.createTempDirectory("review");
        this.record = Files.newBufferedWriter(folder.resolve("record.txt"));
        this.net = freeNet();
        this.shields = shields;
        this.edges = edges;
    }

    private static Map<String, String> zones() {
        final Map<String, String> map = new LinkedHashMap<>();
        List.of("kurasini", "mikocheni", "ubungo", "kipawa").forEach(zone -> map.put(zone, "dar"));
        return map;
    }

    private static String freeNet() {
        final Random random = new Random();
        for (int i = 0; i < 50; i++) {
            final String net = "127." + (30 + random.nextInt(170)) + "." + random.nextInt(250) + ".";
            try (ServerSocket a = new ServerSocket(CONTROL, 1, InetAddress.getByName(net + 1));
                    ServerSocket b = new ServerSocket(WIRE, 1, InetAddress.getByName(net + 1))) {
                return net;
            } catch (final IOException taken) {
                continue;
            }
        }
        throw new CannotRun("no free loopback addresses");
    }

    String at(final int machine) {
        return net + machine;
    }

    /** Addresses: shields 1 and up, edges 21 and up, stand-ins 101 and up. */
    String shield(final int number) {
        return at(number);
    }

    String edge(final int number) {
        return at(20 + number);
    }

    long ms() {
        return (System.nanoTime() - begun) / 1_000_000;
    }

    synchronized void say(final String line) {
        try {
            record.write(String.format("%8d %s%n", ms(), line));
            record.flush();
        } catch (final IOException e) {
            System.err.println(line);
        }
    }

    void sleepUntil(final long at) throws InterruptedException {
        final long left = at - ms();
        if (left > 0) {
            Thread.sleep(left);
        }
    }

    private Map<String, Object> fields(final String ip, final int index, final boolean edge) {
        final String zone = List.copyOf(ZONES.keySet()).get(index % ZONES.size());
        final Map<String, Object> f = new LinkedHashMap<>();
        f.put("ip_address", ip);
        f.put("zone", zone);
        f.put("region", "dar");
        f.put("zones", ZONES);
        final Map<String, Object> listen = new LinkedHashMap<>();
        if (edge) {
            listen.put("front", ip + ":" + FRONT);
            listen.put("readiness", ip + ":" + READY);
        } else {
            listen.put("control_plane", ip + ":" + CONTROL);
        }
        f.put("listen_addresses", listen);
        f.put("internal_port_range", List.of(WIRE, WIRE_LAST));
        f.put("seed_nodes", List.of(shield(1) + ":" + CONTROL, shield(2) + ":" + CONTROL, shield(3) + ":" + CONTROL));
        f.put("first_boot", firstBoot);
        f.put("data_directory", edge ? null : dir.resolve("data-" + ip).toString());
        f.put("limits", Map.of("file_descriptors", edge ? 3000 : 4096));
        f.put("fault_tolerance", Map.of("machines", 1));
        final Map<String, Object> bounds = new LinkedHashMap<>();
        bounds.put("drain_timeout_ms", 2000);
        bounds.put("grace_period_s", 6);
        bounds.put("config_apply_ms", 2000);
        bounds.put("purge_ms", 2000);
        bounds.put("key_window_s", 60);
        bounds.put("retry_budget_ratio", 0.2);
        bounds.put("retry_budget_slack", 62);
        f.put("bounds", bounds);
        return f;
    }

    private List<String> command(final String role) throws IOException {
        final String text = Files.readString(repo.resolve("deploy/system.toml"));
        final Matcher matcher = Pattern.compile("\\[roles\\." + role + "]\\s*run\\s*=\\s*\"([^\"]*)\"")
                .matcher(text);
        if (!matcher.find()) {
            throw new CannotRun("no role " + role + " in the deploy file");
        }
        return List.of(matcher.group(1).split(" "));
    }

    Process start(final String role, final String ip, final int index) throws IOException {
        final Path settings = dir.resolve("node-" + ip + ".json");
        Files.writeString(
                settings,
                Template.fill(Files.readString(repo.resolve("deploy/node.json")), fields(ip, index, role.equals("edge"))));
        final ProcessBuilder builder = new ProcessBuilder(command(role));
        builder.directory(repo.toFile());
        builder.environment().put("ROWANVALVE_NODE_FILE", settings.toString());
        final Process process = builder.redirectErrorStream(true)
                .redirectOutput(dir.resolve("log-" + ip).toFile())
                .start();
        processes.put(ip, process);
        say("started " + role + " " + ip);
        return process;
    }

    /** SIGKILL to a shield and, {@code downMs} later, its start; {@code wiped}: with an empty disk. */
    void killAndStart(final int number, final boolean wiped, final long downMs) throws Exception {
        final Process process = processes.get(shield(number));
        process.destroyForcibly().waitFor();
        say("SIGKILL to " + shield(number) + (wiped ? ", which loses its disk" : ""));
        if (wiped) {
            try (Stream<Path> walk = Files.walk(dir.resolve("data-" + shield(number)))) {
                for (final Path path : walk.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
        }
        Thread.sleep(downMs);
        firstBoot = false;
        start("shield", shield(number), number - 1);
    }

    Process process(final String ip) {
        return processes.get(ip);
    }

    String log(final String ip) throws IOException {
        return Files.readString(dir.resolve("log-" + ip));
    }

    /** Starts all machines, states the configuration, and waits until every edge is ready. */
    void startAll(final String configuration, final List<Origin> origins) throws Exception {
        for (int i = 1; i <= shields; i++) {
            start("shield", shield(i), i - 1);
        }
        for (int i = 1; i <= edges; i++) {
            start("edge", edge(i), i - 1);
        }
        until("a first read", 30_000, () -> operator("GET", 1, "/api/config", null).status() == 200);
        until("the configuration", 20_000, () -> operator("PATCH", 1, "/api/config", configuration).status() == 200);
        say("configuration acknowledged");
        origins.forEach(Origin::beatOn);
        for (int i = 1; i <= edges; i++) {
            final String ip = edge(i);
            until("readiness", 20_000, () -> call(ip, READY, "GET", "/api/readiness", Map.of(), null, 1000).status() == 200);
        }
        for (final Origin origin : origins) {
            until("beat of " + origin.id(), 10_000, origin::acknowledged);
        }
        Thread.sleep(4000);
        say("all machines in touch");
    }

    @FunctionalInterface
    interface Question {
        boolean ask() throws Exception;
    }

    void until(final String what, final long patience, final Question question) throws Exception {
        final long end = ms() + patience;
        while (ms() < end) {
            try {
                if (question.ask()) {
                    return;
                }
            } catch (final IOException e) {
                Thread.sleep(50);
            }
            Thread.sleep(50);
        }
        throw new CannotRun(what + " did not come");
    }

    Answer operator(final String method, final int shield, final String path, final String body) throws IOException {
        final Answer answer = call(
                shield(shield),
                CONTROL,
                method,
                path,
                Map.of("Content-Type", "application/json"),
                body == null ? null : body.getBytes(StandardCharsets.UTF_8),
                5000);
        if (!method.equals("GET")) {
            say("operator " + method + " " + path + " at " + shield(shield) + " -> " + answer.status() + "  "
                    + (body == null ? "" : body.length() > 200 ? body.substring(0, 200) + "..." : body));
        }
        return answer;
    }

    /** One try of a client at an edge, under an id of its own; 0 where no answer came. */
    Answer client(
            final int edge,
            final String host,
            final String method,
            final String path,
            final int deadlineMs,
            final Map<String, String> more,
            final byte[] body) {
        final Map<String, String> heads = new LinkedHashMap<>();
        final String id = String.format("%08x%08x", hashCode(), tries.incrementAndGet());
        heads.put("Host", host);
        heads.put("X-Attempt-Id", id);
        heads.put("X-Deadline-Remaining", String.valueOf(deadlineMs));
        heads.putAll(more);
        final long sentAt = ms();
        Answer answer;
        String failure = "";
        try {
            answer = call(edge(edge), FRONT, method, path, heads, body, deadlineMs + 500);
        } catch (final IOException e) {
            answer = new Answer(0, Map.of(), new byte[0]);
            failure = " " + e;
        }
        say("client try " + id + " sent at " + sentAt + " " + method + " " + host + path + " " + more + " -> "
                + answer.status() + " seal=" + answer.seal() + " age=" + answer.header("age") + " bytes="
                + answer.body().length + failure);
        return answer;
    }

    static Answer call(
            final String ip,
            final int port,
            final String method,
            final String path,
            final Map<String, String> headers,
            final byte[] body,
            final int timeoutMs)
            throws IOException {
        return Http.call(ip, port, method, path, headers, body, timeoutMs);
    }

    private void endProcesses() {
        processes.values().forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        for (final Process process : processes.values()) {
            try {
                process.waitFor();
            } catch (final InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP") != null) {
            System.err.println("kept " + dir);
        } else {
            final List<Path> all = new ArrayList<>();
            try (Stream<Path> walk = Files.walk(dir)) {
                walk.sorted(Comparator.reverseOrder()).forEach(all::add);
            }
            for (final Path path : all) {
                Files.deleteIfExists(path);
            }
        }
        record.close();
    }
}
