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

/** How changed options are compared, taken and refused. */
class OptionWatcherTest {
    private static final String FILE = """
        {"wire":"10.0.0.1:7000","http":"10.0.0.1:7001","data":"d","cell":"a/x","cells":["a/x","b/y"],"stores":["none"],
        "seeds":["10.0.0.1:1","10.0.0.2:1","10.0.0.3:1"],"seed-port":7000,"first":true,"wanted-losses":1,
        "extra-ratio":0.2,"purge-ms":2000,"grace-s":6,"notice-ms":100}""";

    @TempDir
    private Path dir;

    private final EventJournal journal = new EventJournal(new CoreEventLoop(), 100);
    private final List<Options> heard = new ArrayList<>();
    private Path file;
    private OptionWatcher watcher;
    private Options first;

    @BeforeEach
    void begin() throws Exception {
        file = Files.writeString(dir.resolve("o.json"), FILE);
        final OptionSource source = new OptionSource(Role.SHIELD, "--options", file.toString());
        first = source.read(new ArrayList<>());
        watcher = new OptionWatcher(source, first, journal);
        watcher.listen(heard::add);
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

    private void compare(final String what, final String with, final List<String> taken, final List<String> needsStart)
            throws Exception {
        final String text = FILE.replace(what, with);
        assertEquals(new OptionChange(taken, needsStart), OptionChange.between(first, read(text)), with);
    }

    @Test
    void whatARunningProcessTakesIsToldFromWhatNeedsAStart() throws Exception {
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
    void everyOptionIsComparedOrForTheStartAlone() {
        final List<String> rest = new ArrayList<>(OptionFlags.names());
        rest.removeAll(OptionChange.names());
        assertEquals(List.of("seed-port", "first", "losses"), rest);
    }

    @Test
    void aSignalTakesWhatMayChangeAndNamesTheRest() throws Exception {
        Files.writeString(file, FILE.replace("10.0.0.3:1", "10.0.0.4:1").replace("\"data\":\"d\"", "\"data\":\"e\""));
        watcher.reload();
        assertEquals(
                List.of(
                        "RV1008 changed options need a new start {options=data}",
                        "RV1006 changed options in force {changed=seeds}"),
                events());
        assertEquals(2, heard.size());
        assertEquals(
                new InetSocketAddress("10.0.0.4", 7000), heard.get(1).seeds().get(NodeId.of("n10-0-0-4")));
    }

    @Test
    void aFaultyFileIsToldWithItsPlacesAndNothingOfItIsTaken() throws Exception {
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
        assertEquals(List.of(first), heard);
        assertEquals(first, watcher.current());
    }

    @Test
    void aChangeWithoutASignalIsSeenOnceItHasSettled() throws Exception {
        watcher.look();
        watcher.look();
        assertEquals(List.of(), events());
        Files.writeString(file, "{\"wire\":");
        watcher.look();
        Files.writeString(file, FILE.replace("\"wanted-losses\":1", "\"wanted-losses\":10"));
        watcher.look();
        assertEquals(List.of(), events(), "it may still be written");
        watcher.look();
        watcher.look();
        assertEquals(
                List.of(
                        "RV1006 changed options in force {changed=wanted-losses}",
                        "RV1312 too few voters for the tolerated losses {why=3 electors bear the loss of 1, not of 10}"),
                events());
        assertEquals(10, heard.get(1).toleratedLosses());
    }

    @Test
    void leaseTimesStayThoseOfTheStart() throws Exception {
        final Options next = read(FILE.replace("\"purge-ms\":2000", "\"purge-ms\":1000,\"d\":6000,\"m\":1200"));
        final var live = next.reloadable(first.timings());
        assertEquals(first.timings().leaseMs(), live.timings().leaseMs());
        assertEquals(first.timings().marginMs(), live.timings().marginMs());
        assertEquals(750, live.timings().maxViewAgeMs());
    }
}
