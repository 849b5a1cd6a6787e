package org.rowanvalve.server.options;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.common.model.ValidationError;

class OptionsTest {
    private static final String SEEDS = "st1@127.0.0.1:7001,st2@127.0.0.2:7001,sh1@127.0.0.3:7001";

    @TempDir
    private Path dir;

    private static Options read(final List<ValidationError> faults, final Role role, final String... args) {
        return Options.read(role, args, faults);
    }

    @Test
    void allErrorsAreReportedTogetherWithTheirPaths() {
        final List<ValidationError> faults = new ArrayList<>();
        read(
                faults,
                Role.STORE,
                "--id",
                "St 1",
                "--wire",
                "host:1",
                "--http",
                "127.0.0.1:99999",
                "--seeds",
                "st1@127.0.0.1:7001,x",
                "--electors",
                SEEDS + ",sh2@127.0.0.4:7001",
                "--d",
                "2999",
                "--m",
                "a",
                "--shards",
                "0",
                "--log",
                "xml");
        Approvals.verify(
                String.join("\n", faults.stream().map(ValidationError::toString).toList()));
    }

    @Test
    void evenVoterCountUnknownMemberAndDuplicateMemberAreErrors() throws Exception {
        final Path file = Files.writeString(dir.resolve("o.json"), """
            {"id":"sh9","id":"sh8","wire":"127.0.0.9:1","http":"127.0.0.9:2","colour":"red","seeds":["st1@127.0.0.1:7001",
            "st2@127.0.0.2:7001","sh1@127.0.0.3:7001"],"electors":["st1@127.0.0.1:7001","st2@127.0.0.2:7001"]}""");
        final List<ValidationError> faults = new ArrayList<>();
        read(faults, Role.SHIELD, "--options", file.toString());
        final List<String> lines = faults.stream()
                .map(error -> error.toString().replace(file.toString(), "FILE"))
                .toList();
        assertEquals(
                List.of(
                        "FILE/id: member stated twice",
                        "/electors: three or five are wanted, 2 given",
                        "/colour: unknown member"),
                lines);
    }

    @Test
    void flagsTakePrecedenceOverTheFile() throws Exception {
        final Path file = Files.writeString(dir.resolve("o.json"), "{\"id\":\"ed1\",\"cell\":\"north\",\"d\":6000}");
        final List<ValidationError> faults = new ArrayList<>();
        final Options options = read(
                faults,
                Role.EDGE,
                "--options",
                file.toString(),
                "--wire",
                "127.0.0.9:1",
                "--http",
                "127.0.0.9:2",
                "--door",
                "127.0.0.9:3",
                "--seeds",
                SEEDS,
                "--cell",
                "south");
        assertTrue(faults.isEmpty(), faults.toString());
        assertEquals("south", options.location());
        assertEquals(6000, options.timings().leaseMs());
        assertEquals(1000, options.timings().marginMs());
        assertEquals(
                List.of(NodeId.of("st1"), NodeId.of("st2"), NodeId.of("sh1")),
                options.quorum().voters());
        assertEquals(2, options.quorum().majority());
    }
}
