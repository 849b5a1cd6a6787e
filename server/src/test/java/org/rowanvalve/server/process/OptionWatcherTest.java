package org.rowanvalve.server.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.common.model.ValidationError;
import org.rowanvalve.server.options.OptionChange;
import org.rowanvalve.server.options.OptionFlags;
import org.rowanvalve.server.options.OptionSource;
import org.rowanvalve.server.options.Options;
import org.rowanvalve.server.thread.CoreEventLoop;

/** Tests how changed options are compared, applied and rejected. */
class OptionWatcherTest {
    private static final String FILE = """
        {"wire":"10.0.0.1:7000","http":"10.0.0.1:7001","data":"d","cell":"a/x","cells":["a/x","b/y"],"stores":["none"],
        "seeds":["10.0.0.1:1","10.0.0.2:1","10.0.0.3:1"],"seed-port":7000,"first":true,"wanted-losses":1,
        "extra-ratio":0.2,"purge-ms":2000,"grace-s":6,"notice-ms":100}""";

    @TempDir
    private Path dir;

    private final EventJournal journal = new EventJournal(new CoreEventLoop(), 100);
    private final List<Options> received = new ArrayList<>();
    private Path file;
    private OptionWatcher watcher;
    private Options first;

    @BeforeEach
    void setUp() throws Exception {
        file = Files.writeString(dir.resolve("o.json"), FILE);
        final OptionSource source = new OptionSource(Role.SHIELD, "--options", file.toString());
        first = source.read(new ArrayList<>());
        watcher = new OptionWatcher(source, first, journal);
        watcher.listen(received::add);
    }

    private List<String> events() {
        return journal.recent().stream()
                .map(entry -> entry.event().format().replace(file.toString(), "FILE"))
                .toList();
    }

    private Options read(final String text) throws Exception {
        final List<ValidationError> faults = new ArrayList<>();
        final Path other = Files.writeString(dir.resolve("other.json"), text);
        final Options options = new OptionSource(Role.SHIELD, "--options", other.toString()).read(faults);
        assertEquals(List.of(), faults);
        return options;
    }

    private void compare(
            final String replaced, final String replacement, final List<String> applied, final List<String> needsStart)
            throws Exception {
        final String text = FILE.replace(replaced, replacement);
        assertEquals(new OptionChange(applied, needsStart), OptionChange.between(first, read(text)), replacement);
    }

    @Test
    void reloadableOptionsAreDistinguishedFromThoseThatNeedARestart() throws Exception {
        compare("x", "x", List.of(), List.of());
        compare("\"first\":true", "\"first\":false", List.of(), List.of());
        compare("10.0.0.3:1", "10.0.0.4:1", List.of("seeds"), List.of());
        compare("\"wanted-losses\":1", "\"wanted-losses\":2", List.of("wanted-losses"), List.of());
        compare("\"extra-ratio\":0.2", "\"extra-ratio\":0.3", List.of("extra-ratio"), List.of());
        compare("\"purge-ms\":2000", "\"extra-slack\":7", List.of("extra-slack"), List.of());
        compare("\"purge-ms\":2000", "\"purge-ms\":1000", List.of("purge-ms, apply-ms, drain-ms"), List.of());
        compare("\"grace-s\":6", "\"grace-s\":9", List.of("stop-ms, grace-s"), List.of());
        compare("\"notice-ms\":100", "\"notice-ms\":200", List.of("notice-ms"), List.of());
        compare("\"b/y\"]", "\"b/y\",\"c/z\"]", List.of("cells, spread"), List.of());
        compare("\"first\"", "\"reach\":[\"n10-0-0-2@10.0.0.9:5\"],\"first\"", List.of("reach"), List.of());
        compare("\"a/x\",\"cells\"", "\"b/y\",\"cells\"", List.of(), List.of("cell"));
        compare("10.0.0.1:7000\"", "10.0.0.8:7000\"", List.of(), List.of("id", "wire"));
        compare("10.0.0.1:7001\"", "10.0.0.1:7002\"", List.of(), List.of("http"));
        compare("\"data\":\"d\"", "\"data\":\"e\"", List.of(), List.of("data"));
        compare("\"first\"", "\"faces\":[\"a@10.0.0.1:9\"],\"first\"", List.of(), List.of("faces"));
        compare("\"first\"", "\"d\":6000,\"first\"", List.of(), List.of("d"));
        compare("\"first\"", "\"d\":6000,\"m\":1200,\"first\"", List.of(), List.of("d", "m"));
        compare("\"first\"", "\"shards\":8,\"first\"", List.of(), List.of("shards"));
        compare("\"first\"", "\"cache-bytes\":70000,\"first\"", List.of(), List.of("cache-bytes"));
        compare("\"first\"", "\"log\":\"json\",\"first\"", List.of(), List.of("log"));
        compare("\"stores\":[\"none\"],", "", List.of(), List.of("electors", "stores"));
    }

    @Test
    void everyOptionIsComparedExceptThoseOnlyUsedAtStart() {
        final List<String> notCompared = new ArrayList<>(OptionFlags.names());
        notCompared.removeAll(OptionChange.names());
        assertEquals(List.of("seed-port", "first", "losses"), notCompared);
    }

    @Test
    void reloadAppliesReloadableOptionsAndReportsTheOthers() throws Exception {
        Files.writeString(file, FILE.replace("10.0.0.3:1", "10.0.0.4:1").replace("\"data\":\"d\"", "\"data\":\"e\""));
        watcher.reload();
        assertEquals(
                List.of(
                        "RV1008 changed options need a new start {options=data}",
                        "RV1006 changed options in force {changed=seeds}"),
                events());
        assertEquals(2, received.size());
        assertEquals(
                new InetSocketAddress("10.0.0.4", 7000), received.get(1).seeds().get(NodeId.of("n10-0-0-4")));
    }

    @Test
    void invalidFileIsReportedWithPathsAndNotApplied() throws Exception {
        Files.writeString(file, FILE.replace("10.0.0.3:1", "x").replace("\"purge-ms\":2000", "\"purge-ms\":-1"));
        watcher.reload();
        Files.writeString(file, "{\"wire");
        watcher.reload();
        Files.delete(file);
        watcher.reload();
        assertEquals(3, events().size());
        assertEquals(
                "RV1007 changed options rejected, the earlier ones hold {faults=/seeds/2: ID@IP:PORT is wanted, not x; "
                        + "/purge-ms: must be from 400 to 600000}",
                events().get(0));
        assertTrue(events().get(2).contains("FILE: cannot be read"), events().get(2));
        assertEquals(List.of(first), received);
        assertEquals(first, watcher.current());
    }

    @Test
    void changedFileIsReloadedOnceItIsStable() throws Exception {
        watcher.checkFile();
        watcher.checkFile();
        assertEquals(List.of(), events());
        Files.writeString(file, "{\"wire\":");
        watcher.checkFile();
        Files.writeString(file, FILE.replace("\"wanted-losses\":1", "\"wanted-losses\":10"));
        watcher.checkFile();
        assertEquals(List.of(), events(), "the file may still be being written");
        watcher.checkFile();
        watcher.checkFile();
        assertEquals(
                List.of(
                        "RV1006 changed options in force {changed=wanted-losses}",
                        "RV1312 too few voters for the tolerated losses {why=3 electors bear the loss of 1, not of 10}"),
                events());
        assertEquals(10, received.get(1).toleratedLosses());
    }

    @Test
    void reloadKeepsLeaseTimesOfTheStart() throws Exception {
        final Options next = read(FILE.replace("\"purge-ms\":2000", "\"purge-ms\":1000,\"d\":6000,\"m\":1200"));
        final var reloaded = next.reloadable(first.timings());
        assertEquals(first.timings().leaseMs(), reloaded.timings().leaseMs());
        assertEquals(first.timings().marginMs(), reloaded.timings().marginMs());
        assertEquals(750, reloaded.timings().maxViewAgeMs());
    }
}
