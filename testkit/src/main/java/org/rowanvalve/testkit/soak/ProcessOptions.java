package org.rowanvalve.testkit.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.testkit.fleet.FleetMachine;

/** The options file of each process, which a soak run changes under it. */
final class ProcessOptions {
    private static final long SHUTDOWN_MS = 6000;
    private static final String INVALID = "{\"stop-ms\":-1,\"notice-ms\":\"soon\"}";
    private final Path folder;

    ProcessOptions(final Path folder) {
        this.folder = folder;
    }

    private Path file(final String machine) {
        return folder.resolve("options-" + machine + ".json");
    }

    /** Writes the first file of a machine and has its processes read it. */
    void attach(final FleetMachine machine) throws IOException {
        writeValid(machine.name(), 1000);
        machine.addFlags(List.of("--options", file(machine.name()).toString()));
    }

    /** {@code noticeMs}: how long a leaving edge still takes requests. */
    void writeValid(final String machine, final int noticeMs) throws IOException {
        replace(machine, Json.write(Map.of("stop-ms", SHUTDOWN_MS, "notice-ms", noticeMs)));
    }

    void writeInvalid(final String machine) throws IOException {
        replace(machine, INVALID);
    }

    private void replace(final String machine, final String text) throws IOException {
        final Path next = folder.resolve("options-" + machine + ".next");
        Files.writeString(next, text + "\n");
        Files.move(next, file(machine), StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }
}
