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
import java.util.Optional;
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
import org.rowanvalve.common.model.ValidationError;
import org.rowanvalve.control.json.JsonObjectReader;
import org.rowanvalve.control.json.JsonReader;

/**
 * Rules taken out of the source one at a time, each shown to be caught by the test that is named for it. Exit 0: all
 * were caught; 1: one was not; 2: a removal that names nothing known, told before anything starts.
 */
final class Removals {
    private static final Path TOP = Path.of("..");
    private static final Path LIST = Path.of("src", "test", "resources", "removals.json");

    record Removal(String name, String rule, String file, String find, String put, String test) {}

    private Removals() {}

    static Map<String, Removal> all(final List<ValidationError> faults) throws IOException {
        final Map<String, Removal> map = new LinkedHashMap<>();
        final Object value = JsonReader.read(Files.readAllBytes(LIST), faults);
        if (!(value instanceof Map<?, ?> m) || !(m.get("removals") instanceof List<?> list)) {
            faults.add(new ValidationError(LIST.toString(), "a list of removals is wanted"));
            return map;
        }
        for (int i = 0; i < list.size(); i++) {
            final JsonObjectReader object = new JsonObjectReader(list.get(i), LIST + "/removals/" + i, faults);
            final Removal r = new Removal(
                    object.text("name", true, ""),
                    object.text("rule", true, ""),
                    object.text("file", true, ""),
                    object.text("find", true, ""),
                    object.text("put", true, ""),
                    object.text("test", true, ""));
            object.rejectUnknownMembers();
            check(r, object, faults);
            if (map.put(r.name(), r) != null) {
                object.addError("name", "stated twice: " + r.name());
            }
        }
        return map;
    }

    private static void check(final Removal r, final JsonObjectReader object, final List<ValidationError> faults)
            throws IOException {
        final Path file = TOP.resolve(r.file());
        if (!Files.isRegularFile(file)) {
            object.addError("file", "no such file: " + r.file());
        } else if (Files.readString(file).split(java.util.regex.Pattern.quote(r.find()), -1).length != 2) {
            object.addError("find", "must stand in the file exactly once");
        }
        final int cut = r.test().indexOf('#');
        if (cut < 0) {
            object.addError("test", "Class#method is wanted");
            return;
        }
        try (Stream<Path> tests = Files.walk(TOP)) {
            final String name = r.test().substring(0, cut) + ".java";
            final boolean there = tests.filter(
                            path -> path.endsWith(name) && path.toString().contains("src"))
                    .anyMatch(path -> {
                        try {
                            return Files.readString(path)
                                    .contains("void " + r.test().substring(cut + 1) + "(");
                        } catch (final IOException e) {
                            return false;
                        }
                    });
            if (!there) {
                object.addError("test", "no such test: " + r.test());
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
        final Process process = new ProcessBuilder(
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
        if (!process.waitFor(10, TimeUnit.MINUTES)) {
            process.destroyForcibly();
            return "caught: did not end";
        }
        return process.exitValue() == 1
                ? "caught"
                : process.exitValue() == 0 ? "NOT CAUGHT" : "NOT RUN " + Files.readString(dir.resolve("log"));
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

    /** The test class of this simple name, in whichever package it is. */
    private static Class<?> type(final String name) throws ClassNotFoundException {
        for (final String entry : classes().split(File.pathSeparator)) {
            final Path folder = Path.of(entry);
            if (!Files.isDirectory(folder)) {
                continue;
            }
            try (Stream<Path> files = Files.walk(folder)) {
                final Optional<Path> found =
                        files.filter(file -> file.endsWith(name + ".class")).findFirst();
                if (found.isPresent()) {
                    final String path = folder.relativize(found.get()).toString();
                    return Class.forName(
                            path.substring(0, path.length() - ".class".length()).replace(File.separatorChar, '.'));
                }
            } catch (final IOException e) {
                throw new ClassNotFoundException(name, e);
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
            for (final Map.Entry<String, Future<String>> entry : going.entrySet()) {
                ends.put(entry.getKey(), entry.getValue().get());
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
        final List<ValidationError> faults = new ArrayList<>();
        final Map<String, Removal> all = all(faults);
        for (int i = 0; i < args.length; i++) {
            if (!all.containsKey(args[i])) {
                faults.add(new ValidationError("argument " + (i + 1), "no removal is named " + args[i]));
            }
        }
        if (!faults.isEmpty()) {
            faults.forEach(error -> System.err.println("rwmutations: " + error));
            System.exit(2);
        }
        final List<Removal> list = args.length == 0
                ? List.copyOf(all.values())
                : Arrays.stream(args).map(all::get).toList();
        final Path dir = Files.createTempDirectory("rwmutations");
        final Map<String, String> ends =
                run(list, dir, Math.max(1, Runtime.getRuntime().availableProcessors() - 2));
        list.forEach(
                r -> System.out.printf("%-28s rule %-4s %-10s %s%n", r.name(), r.rule(), ends.get(r.name()), r.test()));
        System.exit(ends.values().stream().allMatch(e -> e.startsWith("caught")) ? 0 : 1);
    }
}
