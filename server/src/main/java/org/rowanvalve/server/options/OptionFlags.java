package org.rowanvalve.server.options;

import java.math.BigDecimal;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** The command-line options with their help texts and the conversion of their arguments to values. */
public final class OptionFlags {
    /** The flag that names the file with the other options. */
    static final String FILE = "options";

    private static final String NUMBER = "-?[0-9]{1,15}([.][0-9]{1,6})?";

    /**
     * The type of a flag, which converts its argument. An argument of the wrong type stays a string, which {@link
     * OptionValidator} rejects.
     */
    private enum Kind {
        TEXT(text -> text),
        LIST(text -> text.isEmpty() ? List.of() : List.of((Object[]) text.split(","))),
        NUMBER(text -> text.matches(OptionFlags.NUMBER) ? new BigDecimal(text) : text),
        TRUTH(text -> Set.of("true", "false").contains(text) ? Boolean.valueOf(text) : text);

        private final Function<String, Object> value;

        Kind(final Function<String, Object> value) {
            this.value = value;
        }
    }

    private record Flag(String name, Kind kind, String argument, String help) {}

    private static final String ADDRESS = "IP:PORT";
    private static final List<Flag> ALL = List.of(
            new Flag("id", Kind.TEXT, "", "this node's name"),
            new Flag("cell", Kind.TEXT, "", "the zone this node is in"),
            new Flag("wire", Kind.TEXT, ADDRESS, "address for other processes"),
            new Flag("http", Kind.TEXT, ADDRESS, "address for operators, origins and the platform"),
            new Flag("door", Kind.TEXT, ADDRESS, "address for callers (edges only)"),
            new Flag("data", Kind.TEXT, "DIR", "data folder (stores only)"),
            new Flag("seeds", Kind.LIST, "", "three processes to begin with: ID@IP:PORT,..."),
            new Flag("electors", Kind.LIST, "", "an odd number of voters, default the seeds: ID@IP:PORT,..."),
            new Flag("stores", Kind.LIST, "", "which electors are stores, default the first two: ID,ID"),
            new Flag("reach", Kind.LIST, "", "other ways to peers: ID@IP:PORT,..."),
            new Flag("d", Kind.NUMBER, "", "lease duration in ms, at least 3000"),
            new Flag("m", Kind.NUMBER, "", "margin in ms, at least max(1000, D/10)"),
            new Flag("shards", Kind.NUMBER, "", "shards of the key space, the same on every node"),
            new Flag("cache-bytes", Kind.NUMBER, "", "room for cached copies"),
            new Flag("descriptors", Kind.NUMBER, "", "open files and sockets that the process may have, 0: any number"),
            new Flag("stop-ms", Kind.NUMBER, "", "how long an orderly stop may take"),
            new Flag("log", Kind.TEXT, "", "text or json"),
            new Flag("seed-port", Kind.NUMBER, "", "wire port of seeds that are given without a name"),
            new Flag("first", Kind.TRUTH, "", "true where the network is started for the first time"),
            new Flag(
                    "losses",
                    Kind.NUMBER,
                    "",
                    "electors that may be lost at once; nothing starts where their number cannot bear it"),
            new Flag("wanted-losses", Kind.NUMBER, "", "the same, but told by an event only"),
            new Flag("extra-ratio", Kind.NUMBER, "", "extra tries for each request to a service"),
            new Flag("extra-slack", Kind.NUMBER, "", "extra tries beside those, in 10 s, over all nodes"),
            new Flag("purge-ms", Kind.NUMBER, "", "when a purge must be in force everywhere"),
            new Flag("apply-ms", Kind.NUMBER, "", "when a configuration must be in force everywhere"),
            new Flag("drain-ms", Kind.NUMBER, "", "when a leaving origin must get nothing more"),
            new Flag(
                    "grace-s",
                    Kind.NUMBER,
                    "",
                    "when a stopping process is killed; its stop is over a second and a half earlier"),
            new Flag("faces", Kind.LIST, "", "further addresses for an adapter: NAME@IP:PORT,..."),
            new Flag("cells", Kind.LIST, "", "all zones, as REGION/ZONE,..."),
            new Flag("notice-ms", Kind.NUMBER, "", "how long a leaving edge still takes requests"),
            new Flag("key-window", Kind.NUMBER, "", "seconds in which a key runs once"),
            new Flag("update-bytes", Kind.NUMBER, "", "how large the items of one operator's call may be, as stored"),
            new Flag("configuration-bytes", Kind.NUMBER, "", "how large all that operators define may be, as stored"),
            new Flag("spread", Kind.TEXT, "", "what objects are filled for apart: region, zone or none"));

    private static final Map<String, Flag> BY_NAME = ALL.stream().collect(Collectors.toMap(Flag::name, f -> f));

    private OptionFlags() {}

    public static List<String> names() {
        return ALL.stream().map(Flag::name).toList();
    }

    public static OptionParser parser() {
        final OptionParser parser = new OptionParser();
        parser.accepts("help", "print this and end");
        parser.accepts("version", "print the version and end");
        parser.accepts(FILE, "JSON file with the options below as members")
                .withRequiredArg()
                .describedAs("FILE");
        for (final Flag flag : ALL) {
            final var argument = parser.accepts(flag.name(), flag.help()).withRequiredArg();
            if (!flag.argument().isEmpty()) {
                argument.describedAs(flag.argument());
            }
        }
        return parser;
    }

    /** Adds the values of the given flags, replacing values from the file. */
    static void putValues(final OptionSet given, final Map<String, Object> members) {
        for (final String name : names()) {
            if (given.has(name)) {
                members.put(name, BY_NAME.get(name).kind().value.apply((String) given.valueOf(name)));
            }
        }
    }
}
