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
import org.rowanvalve.common.Finding;
import org.rowanvalve.testkit.fleet.Drill;
import org.rowanvalve.testkit.fleet.Fleet;
import org.rowanvalve.testkit.judge.Judge;
import org.rowanvalve.testkit.scale.Scale;
import org.rowanvalve.testkit.sim.ScriptRunner;

/** The rig's command line: 0 all rules kept, 1 a rule broken or a trouble missed, 2 usage. */
public final class Rig {
    private static final String USAGE = """
        rwrig COMMAND
          sim WHAT         WHAT: kilimanjaro, coastline, either with -shields, coastline-six (a day from the seed), or a scenario file
          pairs PLACE      every two troubles on top of each other, for each seed
          fleet WHAT       the same on processes; without --troubles a quiet day
          judge FILE...    rules on logs
          scale N,N,...    hollow nodes beside real electors, in steps of size: what each costs
          origin NAME SERVICE KIND IP PORT LOG NODE,NODE...   one stand-in origin
        """;

    private Rig() {}

    public static void main(final String[] args) throws Exception {
        org.rowanvalve.server.Main.quiet();
        final OptionParser p = new OptionParser();
        p.accepts("seeds", "one seed or a range: 1..20").withRequiredArg().defaultsTo("1");
        p.accepts("troubles", "how many troubles a day from a seed has")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(0);
        p.accepts("seconds", "length of a quiet day")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(20L);
        p.accepts("dir", "folder for a fleet's logs and data").withRequiredArg();
        p.accepts(
                        "from",
                        "bin folder of another build: a fleet begins on it, each restart brings a machine to this one")
                .withRequiredArg();
        p.accepts("shards", "shards of the key space, in a scale run")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(512);
        p.accepts("figures", "print availability and spread");
        p.accepts("help", "print this and end");
        final OptionSet set;
        try {
            set = p.parse(args);
        } catch (final OptionException e) {
            System.err.println("rwrig: " + e.getMessage());
            System.exit(2);
            return;
        }
        final List<String> w =
                set.nonOptionArguments().stream().map(String::valueOf).toList();
        if (set.has("help") || w.size() < 2) {
            System.out.println(USAGE);
            p.printHelpOn(System.out);
            System.exit(set.has("help") ? 0 : 2);
        }
        switch (w.get(0)) {
            case "sim" -> System.exit(sim(w.get(1), set));
            case "pairs" -> System.exit(pairs(w.get(1), set));
            case "fleet" -> System.exit(fleet(w.get(1), set));
            case "judge" -> System.exit(judge(w.subList(1, w.size())));
            case "scale" -> System.exit(scale(w.get(1), set));
            case "origin" -> origin(w.subList(1, w.size()));
            default -> {
                System.err.println(USAGE);
                System.exit(2);
            }
        }
    }

    private static Script script(final String what, final long seed, final OptionSet set, final List<Finding> faults)
            throws IOException {
        if (Place.NAMES.contains(what)) {
            final int n = (Integer) set.valueOf("troubles");
            return n == 0
                    ? new Script("quiet", Place.of(what), (Long) set.valueOf("seconds"), List.of())
                    : DayDraw.day(Place.of(what), seed, n, 4000);
        }
        if (!Files.isReadable(Path.of(what))) {
            faults.add(new Finding(what, "cannot be read"));
            return null;
        }
        return Script.read(Files.readAllBytes(Path.of(what)), faults);
    }

    private static boolean bad(final List<Finding> faults) {
        faults.forEach(f -> System.err.println("rwrig: " + f));
        return !faults.isEmpty();
    }

    private static int sim(final String what, final OptionSet set) throws Exception {
        final String[] ends = ((String) set.valueOf("seeds")).split("\\.\\.");
        final long from = Long.parseLong(ends[0]);
        final long to = Long.parseLong(ends[ends.length - 1]);
        final List<Finding> faults = new ArrayList<>();
        script(what, from, set, faults);
        if (bad(faults)) {
            return 2;
        }
        return LongStream.rangeClosed(from, to)
                .parallel()
                .mapToInt(seed -> {
                    try {
                        final ScriptRunner play = new ScriptRunner(script(what, seed, set, new ArrayList<>()), seed);
                        return show("seed " + seed, play.run(), play.missed(), set);
                    } catch (final IOException e) {
                        return 1;
                    }
                })
                .max()
                .orElse(0);
    }

    private static int pairs(final String place, final OptionSet set) {
        if (!Place.NAMES.contains(place)) {
            System.err.println("rwrig: argument 2: no deployment is named " + place);
            return 2;
        }
        final String[] ends = ((String) set.valueOf("seeds")).split("\\.\\.");
        final Map<Integer, java.util.concurrent.atomic.AtomicLong> checked =
                new java.util.concurrent.ConcurrentSkipListMap<>();
        final long bad = LongStream.rangeClosed(Long.parseLong(ends[0]), Long.parseLong(ends[ends.length - 1]))
                .boxed()
                .flatMap(seed -> DayDraw.pairs(Place.of(place)).stream().map(two -> Map.entry(seed, two)))
                .toList()
                .parallelStream()
                .filter(e -> {
                    final ScriptRunner play =
                            new ScriptRunner(DayDraw.pair(Place.of(place), e.getValue(), e.getKey()), e.getKey());
                    final Judge j = new Judge(play.run());
                    j.verdicts()
                            .forEach(v -> checked.computeIfAbsent(
                                            v.rule(), k -> new java.util.concurrent.atomic.AtomicLong())
                                    .addAndGet(v.checked()));
                    final boolean ok = j.clean() && play.missed().isEmpty();
                    if (!ok) {
                        System.out.print(
                                e.getValue() + " seed " + e.getKey() + " BROKEN " + play.missed() + "\n" + j.text(2));
                    }
                    return !ok;
                })
                .count();
        System.out.println(place + ": " + bad + " not clean of "
                + DayDraw.pairs(Place.of(place)).size() + " pairs a seed; checked by rule " + checked);
        return bad == 0 ? 0 : 1;
    }

    private static int show(
            final String title, final List<Map<String, Object>> rows, final List<String> missed, final OptionSet set) {
        final Judge j = new Judge(rows);
        final boolean ok = j.clean() && missed.isEmpty();
        final StringBuilder s = new StringBuilder(title + (ok ? " clean" : " BROKEN")
                + (missed.isEmpty() ? "" : ", not brought about: " + missed) + "\n");
        s.append(j.text(5));
        if (set.has("figures")) {
            s.append(new Figures(rows).text());
        }
        System.out.print(s);
        return ok ? 0 : 1;
    }

    private static int fleet(final String what, final OptionSet set) throws Exception {
        final List<Finding> faults = new ArrayList<>();
        final long seed = Long.parseLong(((String) set.valueOf("seeds")).split("\\.\\.")[0]);
        final Script s = script(what, seed, set, faults);
        if (s != null && s.place().shieldRun()) {
            faults.add(new Finding(what, "this place is played in the simulator only"));
        } else if (s != null) {
            faults.addAll(Drill.check(s));
        }
        if (bad(faults)) {
            return 2;
        }
        final Path dir = set.has("dir") ? Path.of((String) set.valueOf("dir")) : Files.createTempDirectory("rwrig");
        final Path bin = Path.of(System.getProperty("rowanvalve.bin", "bin")).toAbsolutePath();
        final Path from =
                set.has("from") ? Path.of((String) set.valueOf("from")).toAbsolutePath() : bin;
        if (!Files.isExecutable(from.resolve("rwstore"))) {
            System.err.println("rwrig: --from: no programs in " + from);
            return 2;
        }
        System.out.println("logs in " + dir);
        try (Fleet fleet = new Fleet(s.place(), dir, bin, from, seed).open()) {
            final Drill drill = new Drill(fleet, s);
            return show(s.name(), drill.run(), drill.missed(), set);
        }
    }

    private static int scale(final String what, final OptionSet set) throws Exception {
        final List<Integer> sizes = Scale.sizes(what);
        if (sizes.isEmpty()) {
            System.err.println("rwrig: argument 2: sizes of 12 nodes and more are wanted, as 50,150: " + what);
            return 2;
        }
        final Path dir = set.has("dir") ? Path.of((String) set.valueOf("dir")) : Path.of("scale");
        final Path bin = Path.of(System.getProperty("rowanvalve.bin", "bin")).toAbsolutePath();
        final Scale scale = new Scale(sizes, (Integer) set.valueOf("shards"), (Long) set.valueOf("seconds"), dir, bin);
        final List<String> lacks = scale.lacks();
        lacks.forEach(l -> System.err.println("rwrig: " + l));
        return lacks.isEmpty() ? scale.run() : 2;
    }

    private static int judge(final List<String> files) throws IOException {
        final List<Map<String, Object>> rows = new ArrayList<>();
        for (final String f : files) {
            rows.addAll(Log.read(Path.of(f)));
        }
        final Judge j = new Judge(rows);
        System.out.print(j.text(20));
        return j.clean() ? 0 : 1;
    }

    private static void origin(final List<String> a) throws Exception {
        final Originator o = new Originator(
                a.get(0),
                new Stock(a.get(1)),
                a.get(2),
                a.get(3),
                List.of(a.get(6).split(",")),
                new Log(Path.of(a.get(5))));
        o.start(Integer.parseInt(a.get(4)));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> o.leave(5)));
        System.out.println("origin " + o.name() + " on port " + o.port());
        Thread.currentThread().join();
    }
}
