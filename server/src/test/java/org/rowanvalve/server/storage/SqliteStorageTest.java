package org.rowanvalve.server.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.rowanvalve.common.runtime.StorageException;
import org.rowanvalve.server.thread.CoreEventLoop;

class SqliteStorageTest {
    @TempDir
    private Path dir;

    private final CoreEventLoop loop = new CoreEventLoop();

    @AfterEach
    void end() {
        loop.stop();
    }

    private static boolean save(final SqliteStorage d, final Map<String, byte[]> rows) throws Exception {
        final CompletableFuture<Boolean> f = new CompletableFuture<>();
        d.save(rows, f::complete);
        return f.get(20, TimeUnit.SECONDS);
    }

    @Test
    void whatWasSaidToBeSyncedIsReadBackAndNoSharedMemoryFileIsMade() throws Exception {
        loop.start();
        final SqliteStorage d = new SqliteStorage(loop, dir.resolve("data"));
        d.open();
        assertEquals(Map.of(), d.load());
        assertTrue(save(d, Map.of("a", new byte[] {1}, "b", new byte[] {2})));
        final Map<String, byte[]> next = new HashMap<>();
        next.put("a", new byte[] {9});
        next.put("b", null);
        assertTrue(save(d, next));
        assertEquals(1, d.load().size());
        assertArrayEquals(new byte[] {9}, d.load().get("a"));
        try (var all = Files.list(dir.resolve("data"))) {
            assertEquals(
                    java.util.Set.of("items.db", "items.db-wal"),
                    all.map(path -> path.getFileName().toString()).collect(java.util.stream.Collectors.toSet()));
        }
        d.stop();
    }

    private String[] run(final String... args) throws Exception {
        final List<String> words = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                FullDisk.class.getName()));
        words.addAll(List.of(args));
        final Process process =
                new ProcessBuilder(words).redirectErrorStream(true).start();
        final String text = new String(process.getInputStream().readAllBytes());
        assertEquals(0, process.waitFor(), text);
        return text.lines()
                .filter(l -> l.matches("(before|full|after|again|rows) .*"))
                .toArray(String[]::new);
    }

    /** No process ends because its disk is full when it starts. */
    @Test
    void aDiskThatIsFullAtTheStartIsWaitedFor() throws Exception {
        final String[] lines = run(dir.resolve("data").toString(), "start");
        assertEquals(3, lines.length, String.join("\n", lines));
        assertTrue(lines[0].startsWith("full ["), lines[0]);
        assertEquals("after true, rows [c]", lines[1] + ", " + lines[2]);
    }

    /** A disk that was full takes rows again once there is room, and lost none of those it had said yes to. */
    @Test
    void aDiskThatWasFullGoesOn() throws Exception {
        assertEquals(
                "before true, full false, full false, full false, full false, full false, after true, again true, rows [a, c, d]",
                String.join(", ", run(dir.resolve("data").toString())));
    }

    @Test
    void anUnusableFolderIsToldInOneLine() throws Exception {
        final Path file = Files.createFile(dir.resolve("file"));
        final StorageException t = assertThrows(StorageException.class, () -> new SqliteStorage(loop, file).open());
        assertTrue(t.getMessage().startsWith("data folder " + file + " is not usable"));
    }
}
