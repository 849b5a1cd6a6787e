package org.rowanvalve.testkit;

import java.io.File;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import javax.tools.JavaCompiler;
import javax.tools.StandardJavaFileManager;
import javax.tools.ToolProvider;
import org.junit.platform.engine.discovery.DiscoverySelectors;
import org.junit.platform.launcher.LauncherDiscoveryRequest;
import org.junit.platform.launcher.core.LauncherDiscoveryRequestBuilder;
import org.junit.platform.launcher.core.LauncherFactory;
import org.junit.platform.launcher.listeners.SummaryGeneratingListener;
import org.rowanvalve.common.Finding;
import org.rowanvalve.control.JsonReader;
import org.rowanvalve.control.JsonShape;

/**
 * Rules taken out of the source one at a time, each shown to be caught by the test that is named for it. Exit 0: all
 * were caught; 1: one was not; 2: a removal that names nothing known, told before anything starts.
 */
final class Removals {
    private static final Path TOP = Path.of("..");
    private static final Path LIST = Path.of("src", "test", "resources", "removals.json");

    record Removal(String name, String rule, String file, String find, String put, String test) {}

    private Removals() {}

    static Map<String, Removal> all(final List<Finding> faults) throws IOException {
        final Map<String, Removal> map = new LinkedHashMap<>();
        final Object o = JsonReader.read(Files.readAllBytes(LIST), faults);
        if (!(o instanceof Map<?, ?> m) || !(m.get("removals") instanceof List<?> list)) {
            faults.add(new Finding(LIST.toString(), "a list of removals is wanted"));
            return map;
        }
        for (int i = 0; i < list.size(); i++) {
            final JsonShape s = new JsonShape(list.get(i), LIST + "/removals/" + i, faults);
            final Removal r = new Removal(
                    s.text("name", true, ""),
                    s.text("rule", true, ""),
                    s.text("file", true, ""),
                    s.text("find", true, ""),
                    s.text("put", true, ""),
                    s.text("test", true, ""));
            s.end();
            check(r, s, faults);
            if (map.put(r.name(), r) != null) {
                s.fault("name", "stated twice: " + r.name());
            }
        }
        return map;
    }

    private static void check(final Removal r, final JsonShape s, final List<Finding> faults) throws IOException {
        final Path file = TOP.resolve(r.file());
        if (!Files.isRegularFile(file)) {
            s.fault("file", "no such file: " + r.file());
        } else if (Files.readString(file).split(java.util.regex.Pattern.quote(r.find()), -1).length != 2) {
            s.fault("find", "must stand in the file exactly once");
        }
        final int cut = r.test().indexOf('#');
        if (cut < 0) {
            s.fault("test", "Class#method is wanted");
            return;
        }
        try (Stream<Path> tests = Files.walk(TOP)) {
            final String name = r.test().substring(0, cut) + ".java";
            final boolean there = tests.filter(
                            p -> p.endsWith(name) && p.toString().contains("src"))
                    .anyMatch(p -> {
                        try {
                            return Files.readString(p)
                                    .contains("void " + r.test().substring(cut + 1) + "(");
                        } catch (final IOException e) {
                            return false;
                        }
                    });
            if (!there) {
                s.fault("test", "no such test: " + r.test());
            }
        }
    }

    /** Compiles the one changed file and runs the named test in a process of its own with the change in front. */
    static String caught(final Removal r, final Path dir) throws IOException, InterruptedException {
        final Path file = TOP.resolve(r.file());
        final Path src = dir.resolve("src").resolve(file.getFileName());
        Files.createDirectories(src.getParent());
        Files.writeString(src, Files.readString(file).replace(r.find(), r.put()));
        final Path out = Files.createDirectories(dir.resolve("out"));
        final JavaCompiler javac = ToolProvider.getSystemJavaCompiler();
        final StringWriter text = new StringWriter();
        try (StandardJavaFileManager files = javac.getStandardFileManager(null, null, null)) {
            final boolean ok = javac.getTask(
                            text,
                            files,
                            null,
                            List.of("-parameters", "-proc:none", "-cp", classes(), "-d", out.toString()),
                            null,
                            files.getJavaFileObjects(src))
                    .call();
            if (!ok) {
                return "NOT COMPILED " + text;
            }
        }
        final Process p = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx1g",
                        "-XX:+PerfDisableSharedMem",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        out + File.pathSeparator + classes(),
                        Removals.class.getName(),
                        "--test",
                        r.test())
                .redirectErrorStream(true)
                .redirectOutput(dir.resolve("log").toFile())
                .start();
        if (!p.waitFor(10, TimeUnit.MINUTES)) {
            p.destroyForcibly();
            return "caught: did not end";
        }
        return p.exitValue() == 1
                ? "caught"
                : p.exitValue() == 0 ? "NOT CAUGHT" : "NOT RUN " + Files.readString(dir.resolve("log"));
    }

    private static String classes() {
        return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"))
                + File.pathSeparator
                + Stream.of("common", "control", "data", "server")
                        .map(m -> TOP.resolve(m).resolve("target/test-classes").toString())
                        .collect(java.util.stream.Collectors.joining(File.pathSeparator));
    }

    /** 0 when the test passes, 1 when it fails, 3 when it could not be found. */
    private static int test(final String name) throws ClassNotFoundException {
        final int cut = name.indexOf('#');
        final Class<?> c = type(name.substring(0, cut));
        final LauncherDiscoveryRequest request = LauncherDiscoveryRequestBuilder.request()
                .selectors(Arrays.stream(c.getDeclaredMethods())
                        .filter(m -> m.getName().equals(name.substring(cut + 1)))
                        .map(m -> DiscoverySelectors.selectMethod(c, m))
                        .toList())
                .build();
        final SummaryGeneratingListener seen = new SummaryGeneratingListener();
        LauncherFactory.create().execute(request, seen);
        seen.getSummary().printFailuresTo(new java.io.PrintWriter(System.out));
        return seen.getSummary().getTestsStartedCount() == 0
                ? 3
                : seen.getSummary().getTestsFailedCount() > 0 ? 1 : 0;
    }

    private static Class<?> type(final String name) throws ClassNotFoundException {
        for (final String pack : List.of(
                "org.rowanvalve.testkit.",
                "org.rowanvalve.data.",
                "org.rowanvalve.control.",
                "org.rowanvalve.server.",
                "org.rowanvalve.common.")) {
            try {
                return Class.forName(pack + name);
            } catch (final ClassNotFoundException e) {
                continue;
            }
        }
        throw new ClassNotFoundException(name);
    }

    /** Name by name what caught it; empty lines never. */
    static Map<String, String> run(final List<Removal> list, final Path dir, final int lanes) throws Exception {
        final ExecutorService pool = Executors.newFixedThreadPool(lanes);
        try {
            final Map<String, Future<String>> going = new LinkedHashMap<>();
            list.forEach(r ->
                    going.put(r.name(), pool.submit(() -> caught(r, Files.createDirectories(dir.resolve(r.name()))))));
            final Map<String, String> ends = new LinkedHashMap<>();
            for (final Map.Entry<String, Future<String>> e : going.entrySet()) {
                ends.put(e.getKey(), e.getValue().get());
            }
            return ends;
        } finally {
            pool.shutdownNow();
        }
    }

    public static void main(final String[] args) throws Exception {
        if (args.length == 2 && args[0].equals("--test")) {
            try {
                System.exit(test(args[1]));
            } catch (final ClassNotFoundException e) {
                System.out.println(e);
                System.exit(3);
            }
        }
        final List<Finding> faults = new ArrayList<>();
        final Map<String, Removal> all = all(faults);
        for (int i = 0; i < args.length; i++) {
            if (!all.containsKey(args[i])) {
                faults.add(new Finding("argument " + (i + 1), "no removal is named " + args[i]));
            }
        }
        if (!faults.isEmpty()) {
            faults.forEach(f -> System.err.println("rwremovals: " + f));
            System.exit(2);
        }
        final List<Removal> list = args.length == 0
                ? List.copyOf(all.values())
                : Arrays.stream(args).map(all::get).toList();
        final Path dir = Files.createTempDirectory("rwremovals");
        final Map<String, String> ends =
                run(list, dir, Math.max(1, Runtime.getRuntime().availableProcessors() - 2));
        list.forEach(
                r -> System.out.printf("%-28s rule %-4s %-10s %s%n", r.name(), r.rule(), ends.get(r.name()), r.test()));
        System.exit(ends.values().stream().allMatch(e -> e.startsWith("caught")) ? 0 : 1);
    }
}
