package org.rowanvalve.testkit;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.rowanvalve.common.model.ValidationError;
import org.rowanvalve.testkit.fleet.Fleet;
import org.rowanvalve.testkit.fleet.FleetScenarioRunner;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.log.RequestTrace;
import org.rowanvalve.testkit.log.RunLog;
import org.rowanvalve.testkit.origin.StandInBackend;
import org.rowanvalve.testkit.origin.StandInOrigin;
import org.rowanvalve.testkit.report.RunStatistics;
import org.rowanvalve.testkit.scale.ScaleRun;
import org.rowanvalve.testkit.scenario.Deployment;
import org.rowanvalve.testkit.scenario.Scenario;
import org.rowanvalve.testkit.scenario.ScenarioGenerator;
import org.rowanvalve.testkit.sim.ScenarioRunner;
import org.rowanvalve.testkit.soak.SoakCommand;

/**
 * The command line of the test kit. Exit status: 0 all rules kept, 1 a rule broken or a fault that could not be
 * injected, 2 usage.
 */
public final class TestKit {
    private static final String USAGE = """
        rwtestkit COMMAND
          sim WHAT         WHAT: kilimanjaro, coastline, either with -shields, coastline-six (a day from the seed), or a scenario file
          pairs PLACE      every two troubles on top of each other, for each seed
          fleet WHAT       the same on processes; without --troubles a quiet day
          judge FILE...    rules on logs
          trace NAME FILE...   what logs, JSON or text, say of a key or a request, in order of time
          scale N,N,...    hollow nodes beside real electors, in steps of size: what each costs
          soak PLACE       PLACE: stores or shields; series of signals, losses and changes on processes, drawn from the seed
          origin NAME SERVICE KIND IP PORT LOG NODE,NODE...   one stand-in origin
        """;

    private TestKit() {}

    public static void main(final String[] args) throws Exception {
        org.rowanvalve.server.process.Main.configureLogging();
        final OptionParser parser = new OptionParser();
        parser.accepts("seeds", "one seed or a range: 1..20").withRequiredArg().defaultsTo("1");
        parser.accepts("troubles", "how many troubles a day from a seed has")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(0);
        parser.accepts("seconds", "length of a quiet day")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(20L);
        parser.accepts("dir", "folder for a fleet's logs and data").withRequiredArg();
        parser.accepts(
                        "from",
                        "bin folder of another build: a fleet begins on it, each restart brings a machine to this one")
                .withRequiredArg();
        parser.accepts("shards", "shards of the key space, in a scale run")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(512);
        parser.accepts("figures", "print availability and spread");
        parser.accepts("minutes", "about how long a soak run takes")
                .withRequiredArg()
                .ofType(Double.class)
                .defaultsTo(2.0);
        parser.accepts("edges", "edges of a soak run, default by the seed")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(0);
        parser.accepts("replay", "folder of a soak run whose plan is played again")
                .withRequiredArg();
        parser.accepts("reduce", "leave out series of a failing soak run as long as it fails");
        parser.accepts("help", "print this and end");
        final OptionSet options;
        try {
            options = parser.parse(args);
        } catch (final OptionException e) {
            System.err.println("rwtestkit: " + e.getMessage());
            System.exit(2);
            return;
        }
        final List<String> w =
                options.nonOptionArguments().stream().map(String::valueOf).toList();
        if (options.has("help") || w.size() < 2) {
            System.out.println(USAGE);
            parser.printHelpOn(System.out);
            System.exit(options.has("help") ? 0 : 2);
        }
        switch (w.get(0)) {
            case "sim" -> System.exit(sim(w.get(1), options));
            case "pairs" -> System.exit(pairs(w.get(1), options));
            case "fleet" -> System.exit(fleet(w.get(1), options));
            case "judge" -> System.exit(judge(w.subList(1, w.size())));
            case "trace" -> System.exit(trace(w.get(1), w.subList(2, w.size())));
            case "scale" -> System.exit(scale(w.get(1), options));
            case "soak" -> System.exit(soak(w.get(1), options));
            case "origin" -> origin(w.subList(1, w.size()));
            default -> {
                System.err.println(USAGE);
                System.exit(2);
            }
        }
    }

    private static int trace(final String name, final List<String> files) throws IOException {
        if (files.isEmpty()) {
            System.err.println("rwtestkit: trace: a log file is missing");
            return 2;
        }
        final List<Map<String, Object>> rows = new ArrayList<>();
        for (final String file : files) {
            if (!Files.isReadable(Path.of(file))) {
                System.err.println("rwtestkit: " + file + " cannot be read");
                return 2;
            }
            rows.addAll(RunLog.readAny(Path.of(file)));
        }
        final RequestTrace trace = new RequestTrace(name, rows);
        System.out.print(trace.text());
        return trace.events().isEmpty() ? 1 : 0;
    }

    private static Scenario script(
            final String what, final long seed, final OptionSet options, final List<ValidationError> faults)
            throws IOException {
        if (Deployment.NAMES.contains(what)) {
            final int n = (Integer) options.valueOf("troubles");
            return n == 0
                    ? new Scenario("quiet", Deployment.of(what), (Long) options.valueOf("seconds"), List.of())
                    : ScenarioGenerator.day(Deployment.of(what), seed, n, 4000);
        }
        if (!Files.isReadable(Path.of(what))) {
            faults.add(new ValidationError(what, "cannot be read"));
            return null;
        }
        return Scenario.read(Files.readAllBytes(Path.of(what)), faults);
    }

    private static String[] seedEnds(final OptionSet options) {
        return ((String) options.valueOf("seeds")).split("\\.\\.");
    }

    private static long firstSeed(final OptionSet options) {
        return Long.parseLong(seedEnds(options)[0]);
    }

    /** One seed, or a range as 1..20. */
    private static List<Long> seeds(final OptionSet options) {
        final String[] ends = seedEnds(options);
        return LongStream.rangeClosed(firstSeed(options), Long.parseLong(ends[ends.length - 1]))
                .boxed()
                .toList();
    }

    /** The folder with the programs as they ship. */
    private static Path programs() {
        return Path.of(System.getProperty("rowanvalve.bin", "bin")).toAbsolutePath();
    }

    private static boolean bad(final List<ValidationError> faults) {
        faults.forEach(error -> System.err.println("rwtestkit: " + error));
        return !faults.isEmpty();
    }

    private static int sim(final String what, final OptionSet options) throws Exception {
        final List<ValidationError> faults = new ArrayList<>();
        script(what, firstSeed(options), options, faults);
        if (bad(faults)) {
            return 2;
        }
        return seeds(options).parallelStream()
                .mapToInt(seed -> {
                    try {
                        final ScenarioRunner play =
                                new ScenarioRunner(script(what, seed, options, new ArrayList<>()), seed);
                        return show("seed " + seed, play.run(), play.missed(), options);
                    } catch (final IOException e) {
                        return 1;
                    }
                })
                .max()
                .orElse(0);
    }

    private static int pairs(final String place, final OptionSet options) {
        if (!Deployment.NAMES.contains(place)) {
            System.err.println("rwtestkit: argument 2: no deployment is named " + place);
            return 2;
        }
        final Map<Integer, java.util.concurrent.atomic.AtomicLong> checked =
                new java.util.concurrent.ConcurrentSkipListMap<>();
        final long bad = seeds(options).stream()
                .flatMap(seed ->
                        ScenarioGenerator.pairs(Deployment.of(place)).stream().map(two -> Map.entry(seed, two)))
                .toList()
                .parallelStream()
                .filter(entry -> {
                    final ScenarioRunner play = new ScenarioRunner(
                            ScenarioGenerator.pair(Deployment.of(place), entry.getValue(), entry.getKey()),
                            entry.getKey());
                    final Judge judge = new Judge(play.run());
                    judge.verdicts()
                            .forEach(verdict -> checked.computeIfAbsent(
                                            verdict.rule(), k -> new java.util.concurrent.atomic.AtomicLong())
                                    .addAndGet(verdict.checked()));
                    final boolean ok = judge.clean() && play.missed().isEmpty();
                    if (!ok) {
                        System.out.print(entry.getValue() + " seed " + entry.getKey() + " BROKEN " + play.missed()
                                + "\n" + judge.text(2));
                    }
                    return !ok;
                })
                .count();
        System.out.println(place + ": " + bad + " not clean of "
                + ScenarioGenerator.pairs(Deployment.of(place)).size() + " pairs a seed; checked by rule " + checked);
        return bad == 0 ? 0 : 1;
    }

    private static int show(
            final String title,
            final List<Map<String, Object>> rows,
            final List<String> missed,
            final OptionSet options) {
        final Judge judge = new Judge(rows);
        final boolean ok = judge.clean() && missed.isEmpty();
        final StringBuilder text = new StringBuilder(title + (ok ? " clean" : " BROKEN")
                + (missed.isEmpty() ? "" : ", not brought about: " + missed) + "\n");
        text.append(judge.text(5));
        if (options.has("figures")) {
            text.append(new RunStatistics(rows).text());
        }
        System.out.print(text);
        return ok ? 0 : 1;
    }

    @SuppressWarnings("try") // See Fleet.
    private static int fleet(final String what, final OptionSet options) throws Exception {
        final List<ValidationError> faults = new ArrayList<>();
        final long seed = firstSeed(options);
        final Scenario scenario = script(what, seed, options, faults);
        if (scenario != null && scenario.place().shieldRun()) {
            faults.add(new ValidationError(what, "this place is played in the simulator only"));
        } else if (scenario != null) {
            faults.addAll(FleetScenarioRunner.check(scenario));
        }
        if (bad(faults)) {
            return 2;
        }
        final Path dir =
                options.has("dir") ? Path.of((String) options.valueOf("dir")) : Files.createTempDirectory("rwtestkit");
        final Path bin = programs();
        final Path from =
                options.has("from") ? Path.of((String) options.valueOf("from")).toAbsolutePath() : bin;
        if (!Files.isExecutable(from.resolve("rwstore"))) {
            System.err.println("rwtestkit: --from: no programs in " + from);
            return 2;
        }
        System.out.println("logs in " + dir);
        try (Fleet fleet = new Fleet(scenario.place(), dir, bin, from, seed).open()) {
            final FleetScenarioRunner drill = new FleetScenarioRunner(fleet, scenario);
            return show(scenario.name(), drill.run(), drill.missed(), options);
        }
    }

    private static int soak(final String place, final OptionSet options) throws Exception {
        final Path bin = programs();
        final SoakCommand command = new SoakCommand(bin, System.out, System.err);
        int worst = 0;
        for (final long seed : seeds(options)) {
            final Path folder = options.has("dir")
                    ? Path.of((String) options.valueOf("dir")).resolve("seed-" + seed)
                    : null;
            worst = Math.max(
                    worst,
                    command.run(new SoakCommand.Request(
                            place,
                            seed,
                            (Double) options.valueOf("minutes"),
                            (Integer) options.valueOf("edges"),
                            folder,
                            options.has("replay") ? Path.of((String) options.valueOf("replay")) : null,
                            options.has("reduce"))));
        }
        return worst;
    }

    private static int scale(final String what, final OptionSet options) throws Exception {
        final List<Integer> sizes = ScaleRun.sizes(what);
        if (sizes.isEmpty()) {
            System.err.println("rwtestkit: argument 2: sizes of 12 nodes and more are wanted, as 50,150: " + what);
            return 2;
        }
        final Path dir = options.has("dir") ? Path.of((String) options.valueOf("dir")) : Path.of("scale");
        final Path bin = programs();
        final ScaleRun scale =
                new ScaleRun(sizes, (Integer) options.valueOf("shards"), (Long) options.valueOf("seconds"), dir, bin);
        final List<String> lacks = scale.lacks();
        lacks.forEach(l -> System.err.println("rwtestkit: " + l));
        return lacks.isEmpty() ? scale.run() : 2;
    }

    private static int judge(final List<String> files) throws IOException {
        final List<Map<String, Object>> rows = new ArrayList<>();
        for (final String f : files) {
            rows.addAll(RunLog.readAny(Path.of(f)));
        }
        final Judge judge = new Judge(rows);
        System.out.print(judge.text(20));
        return judge.clean() ? 0 : 1;
    }

    private static void origin(final List<String> a) throws Exception {
        final StandInOrigin origin = new StandInOrigin(
                a.get(0),
                new StandInBackend(a.get(1)),
                a.get(2),
                a.get(3),
                List.of(a.get(6).split(",")),
                new RunLog(Path.of(a.get(5))));
        origin.start(Integer.parseInt(a.get(4)));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> origin.leave(5)));
        System.out.println("origin " + origin.name() + " on port " + origin.port());
        Thread.currentThread().join();
    }
}
