package rv.prog;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rv.base.DiskTrouble;

class SqlDiskTest {
    @TempDir
    private Path dir;

    private final CoreLoop loop = new CoreLoop();

    @AfterEach
    void end() {
        loop.stop();
    }

    private static boolean save(final SqlDisk d, final Map<String, byte[]> rows) throws Exception {
        final CompletableFuture<Boolean> f = new CompletableFuture<>();
        d.save(rows, f::complete);
        return f.get(20, TimeUnit.SECONDS);
    }

    @Test
    void whatWasSaidToBeSyncedIsReadBackAndNoSharedMemoryFileIsMade() throws Exception {
        loop.start();
        final SqlDisk d = new SqlDisk(loop, dir.resolve("data"));
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
                    all.map(p -> p.getFileName().toString()).collect(java.util.stream.Collectors.toSet()));
        }
        d.stop();
    }

    /** A disk that was full takes rows again once there is room, and lost none of those it had said yes to. */
    @Test
    void aDiskThatWasFullGoesOn() throws Exception {
        final Process p = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                        FullDisk.class.getName(),
                        dir.resolve("data").toString())
                .redirectErrorStream(true)
                .start();
        final String text = new String(p.getInputStream().readAllBytes());
        assertEquals(0, p.waitFor(), text);
        assertEquals(
                "before true, full false, full false, full false, full false, full false, after true, again true, rows [a, c, d]",
                text.lines()
                        .filter(l -> l.matches("(before|full|after|again|rows) .*"))
                        .collect(java.util.stream.Collectors.joining(", ")));
    }

    @Test
    void anUnusableFolderIsToldInOneLine() throws Exception {
        final Path file = Files.createFile(dir.resolve("file"));
        final DiskTrouble t = assertThrows(DiskTrouble.class, () -> new SqlDisk(loop, file).open());
        assertTrue(t.getMessage().startsWith("data folder " + file + " is not usable"));
    }
}
