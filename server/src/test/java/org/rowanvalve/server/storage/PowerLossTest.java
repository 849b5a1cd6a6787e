package org.rowanvalve.server.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.rowanvalve.server.thread.CoreEventLoop;

/** What a loss of power may leave of the files: names without a sync of their folder kept or lost, tails torn. */
class PowerLossTest {
    private static final int SAVES = 12;

    @TempDir
    private Path dir;

    private final CoreEventLoop loop = new CoreEventLoop();
    private final List<String> synced = new ArrayList<>();
    private int copies;

    @BeforeEach
    void begin() {
        loop.start();
    }

    @AfterEach
    void end() {
        loop.stop();
    }

    private static String key(final int n) {
        return String.format("k%02d", n);
    }

    private static boolean save(final SqliteStorage disk, final String key) throws Exception {
        final CompletableFuture<Boolean> done = new CompletableFuture<>();
        disk.save(Map.of(key, key.getBytes()), done::complete);
        return done.get(20, TimeUnit.SECONDS);
    }

    /** The files as a process that is killed right after its last answer leaves them; sizes of the log after each. */
    private Path killed(final List<Long> sizes) throws Exception {
        final Path home = dir.resolve("data");
        final SqliteStorage disk = new SqliteStorage(loop, home);
        disk.open();
        for (int i = 0; i < SAVES; i++) {
            assertTrue(save(disk, key(i)));
            sizes.add(Files.size(home.resolve("items.db-wal")));
        }
        final Path copy = copy(home, "");
        disk.stop();
        return copy;
    }

    private Path copy(final Path from, final String without) throws IOException {
        final Path to = Files.createDirectories(dir.resolve("copy" + copies++));
        try (var files = Files.list(from)) {
            for (final Path file : files.toList()) {
                if (!file.getFileName().toString().equals(without)) {
                    Files.copy(file, to.resolve(file.getFileName()));
                }
            }
        }
        return to;
    }

    /** How many of the rows are there; they must be the first ones, and the folder must take a new one. */
    private int rows(final Path home) throws Exception {
        final SqliteStorage disk = new SqliteStorage(loop, home);
        disk.open();
        final TreeSet<String> keys = new TreeSet<>(disk.load().keySet());
        for (int i = 0; i < keys.size(); i++) {
            assertTrue(keys.contains(key(i)), "not the first rows: " + keys);
        }
        assertTrue(save(disk, "new"));
        assertTrue(disk.load().containsKey("new"));
        disk.stop();
        return keys.size();
    }

    @Test
    void aTornTailCostsOnlyWhatWasNotAnswered() throws Exception {
        final List<Long> sizes = new ArrayList<>();
        final Path home = killed(sizes);
        final byte[] log = Files.readAllBytes(home.resolve("items.db-wal"));
        final Random random = new Random(7);
        for (int answered = 0; answered < SAVES; answered++) {
            final int from = sizes.get(answered).intValue();
            for (int step = 0; step < 3; step++) {
                final int cut = Math.min(log.length, from + random.nextInt(5000));
                final byte[] torn = Arrays.copyOf(log, step == 0 ? cut : log.length);
                if (step > 0) {
                    garble(torn, cut, step == 1 ? random : null);
                }
                final Path left = copy(home, "items.db-wal");
                Files.write(left.resolve("items.db-wal"), torn);
                assertTrue(rows(left) > answered, "answered " + answered + ", cut at " + cut + ", step " + step);
            }
        }
    }

    /** Zeros, as of a write that is missing, or anything at all. */
    private static void garble(final byte[] data, final int from, final Random random) {
        final byte[] tail = new byte[data.length - from];
        if (random != null) {
            random.nextBytes(tail);
        }
        System.arraycopy(tail, 0, data, from, tail.length);
    }

    @Test
    void filesWhoseNamesAreLostLeaveABlankFolderThatWorks() throws Exception {
        final Path home = killed(new ArrayList<>());
        assertEquals(SAVES, rows(copy(home, "")));
        assertEquals(0, rows(copy(home, "items.db")), "a log without its database");
        assertEquals(0, rows(copy(home, "items.db-wal")), "a database without its log");
        final Path journal = copy(home, "items.db-wal");
        Files.write(journal.resolve("items.db-journal"), new byte[512]);
        assertEquals(0, rows(journal), "the journal of the making came back");
        final Path empty = copy(home, "items.db");
        Files.createFile(empty.resolve("items.db"));
        assertEquals(0, rows(empty), "a name without contents");
    }

    @Test
    void whatAKilledProcessLeftIsSyncedBeforeItIsReadAndNewNamesAfter() throws Exception {
        final Path home = killed(new ArrayList<>());
        final SqliteStorage disk = new SqliteStorage(
                loop,
                home,
                path -> synced.add(
                        home.equals(path) ? "folder" : path.getFileName().toString()));
        disk.open();
        assertEquals(List.of("items.db", "items.db-wal", "folder", "folder"), synced);
        assertEquals(SAVES, disk.load().size());
        disk.stop();
    }

    @Test
    void aFolderThatCannotBeSyncedYetIsWaitedForAndNothingIsReadBefore() throws Exception {
        final Path home = killed(new ArrayList<>());
        final List<String> refused = new ArrayList<>();
        final SqliteStorage disk = new SqliteStorage(loop, home, path -> {
            synced.add(path.getFileName().toString());
            if (refused.size() < 2) {
                throw new IOException("no room");
            }
        });
        disk.open(refused::add);
        assertEquals(List.of("java.io.IOException: no room", "java.io.IOException: no room"), refused);
        assertEquals(List.of("items.db", "items.db", "items.db", "items.db-wal"), synced.subList(0, 4));
        disk.stop();
    }
}
