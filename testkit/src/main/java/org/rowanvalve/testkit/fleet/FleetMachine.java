package org.rowanvalve.testkit.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** One machine of the fleet: a process, its address, its disk. */
public final class FleetMachine {
    private final String name;
    private final String host;
    private final int wire;
    private final int http;
    private final int door;
    private final Path dir;
    private Path bin;
    private final List<String> flags = new ArrayList<>();
    private boolean votes;
    private volatile long startedAt;
    private volatile Process process;

    public FleetMachine(final String name, final String host, final int[] ports, final Path dir, final Path bin) {
        this.name = name;
        this.host = host;
        this.wire = ports[0];
        this.http = ports[1];
        this.door = ports[2];
        this.dir = dir;
        this.bin = bin;
    }

    public String name() {
        return name;
    }

    public String host() {
        return host;
    }

    public int wire() {
        return wire;
    }

    public String http() {
        return host + ":" + http;
    }

    public String door() {
        return host + ":" + door;
    }

    boolean store() {
        return name.startsWith("st");
    }

    public boolean edge() {
        return name.startsWith("ed");
    }

    public Path data() {
        return dir.resolve(name + ".data");
    }

    public Path log() {
        return dir.resolve("node-" + name + ".log");
    }

    /** From its next start on it runs that build's programs. */
    void build(final Path at) {
        bin = at;
    }

    public void flags(final List<String> list) {
        flags.clear();
        flags.addAll(list);
    }

    /** Flags beside those it has. */
    public void addFlags(final List<String> more) {
        flags.addAll(more);
    }

    /** Of a network without stores: a shield has a disk, and from its second start on does not found the network. */
    void allShieldsVote() {
        votes = !edge();
    }

    /** Whether it keeps data in a folder of its own. */
    public boolean hasDisk() {
        return store() || votes;
    }

    /** When its process was last started, in milliseconds since the epoch. */
    public long startedAt() {
        return startedAt;
    }

    public boolean alive() {
        return process != null && process.isAlive();
    }

    public long pid() {
        return process.pid();
    }

    public void start() throws IOException {
        final List<String> line = new ArrayList<>();
        line.add(bin.resolve(store() ? "rwstore" : edge() ? "rwedge" : "rwshield")
                .toString());
        line.addAll(List.of("--id", name, "--wire", host + ":" + wire, "--http", http(), "--log", "json"));
        if (edge()) {
            line.addAll(List.of("--door", door()));
        }
        if (hasDisk()) {
            line.addAll(List.of("--data", data().toString()));
        }
        if (votes) {
            line.addAll(List.of("--first", String.valueOf(startedAt == 0)));
        }
        line.addAll(flags);
        final ProcessBuilder builder = new ProcessBuilder(line);
        builder.environment().put("RW_JAVA", "-Xms16m -Xmx64m -Xss256k -XX:+UseSerialGC -XX:CICompilerCount=1");
        builder.environment().put("RW_TIER", "1");
        builder.redirectError(ProcessBuilder.Redirect.appendTo(
                dir.resolve("err-" + name + ".log").toFile()));
        startedAt = System.currentTimeMillis();
        if (hasDisk()) {
            process = builder.start();
            copy(process.getInputStream());
        } else {
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
            process = builder.start();
        }
    }

    /** The log of a machine with a disk goes through here, since a limit on its files would stop the log as well. */
    private void copy(final InputStream from) {
        final Thread thread = new Thread(
                () -> {
                    try (OutputStream to =
                            Files.newOutputStream(log(), StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
                        from.transferTo(to);
                    } catch (final IOException e) {
                        System.err.println(name + ": log ended: " + e.getMessage());
                    }
                },
                "log-" + name);
        thread.setDaemon(true);
        thread.start();
    }

    public void limit(final String bytes) throws IOException, InterruptedException {
        final int rc = new ProcessBuilder(
                        "prlimit", "--pid", String.valueOf(process.pid()), "--fsize=" + bytes + ":unlimited")
                .start()
                .waitFor();
        if (rc != 0) {
            throw new IOException("the file size of " + name + " cannot be limited");
        }
    }

    public void kill() throws InterruptedException {
        if (process != null) {
            if (process.isAlive()) {
                send("KILL");
            }
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }

    public boolean stop(final long ms) throws InterruptedException {
        send("TERM");
        return process.waitFor(ms, TimeUnit.MILLISECONDS);
    }

    /** By signal, since ending a process through its handle closes its log as well. */
    private void send(final String sig) throws InterruptedException {
        try {
            signal(sig);
        } catch (final IOException e) {
            process.destroyForcibly();
        }
    }

    public void signal(final String sig) throws IOException, InterruptedException {
        final int rc = new ProcessBuilder("kill", "-" + sig, String.valueOf(process.pid()))
                .start()
                .waitFor();
        if (rc != 0) {
            throw new IOException("signal " + sig + " to " + name + " failed");
        }
    }

    public void loseDisk() throws IOException {
        wipe(data());
    }

    public static void wipe(final Path at) throws IOException {
        if (Files.exists(at)) {
            try (Stream<Path> all = Files.walk(at)) {
                for (final Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
        }
    }
}
