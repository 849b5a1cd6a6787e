package org.rowanvalve.server;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.rowanvalve.common.Disk;
import org.rowanvalve.common.DiskTrouble;
import org.rowanvalve.common.Loop;

/**
 * The disk duty: one thread, one SQLite file, one synced transaction for all that waits.
 *
 * <p>What a process finds at its start may be no safer than the memory of the machine: an earlier process that was
 * killed may have written files, or made them, without a sync. A row that is read, or a commit into a write-ahead log
 * whose name was never synced, would be lost with the power. So all files and the folder are synced before SQLite
 * reads them, and the folder once more after SQLite has made or removed its own.
 */
public final class SqlDisk implements Disk {
    private static final long AGAIN_MS = 250;
    /** SQLite's primary result codes for a disk that may take writes again. */
    private static final Set<Integer> PASSING = Set.of(5, 10, 13, 14);

    private static final int PRIMARY = 0xff;
    private final Loop loop;
    private final Path home;
    private final Syncer syncer;
    private final ArrayBlockingQueue<Job> ring = new ArrayBlockingQueue<>(4096);
    private final Thread thread = new Thread(this::run, "disk");
    private Connection sql;
    private volatile boolean on = true;
    private boolean broken;

    private record Job(Map<String, byte[]> rows, Consumer<Boolean> done) {}

    /** Makes a file's contents, or a folder's names, last through a loss of power. */
    @FunctionalInterface
    interface Syncer {
        void sync(Path path) throws IOException;
    }

    public SqlDisk(final Loop loop, final Path home) {
        this(loop, home, SqlDisk::force);
    }

    SqlDisk(final Loop loop, final Path home, final Syncer syncer) {
        this.loop = loop;
        this.home = home;
        this.syncer = syncer;
    }

    private static void force(final Path path) throws IOException {
        final OpenOption mode = Files.isDirectory(path) ? StandardOpenOption.READ : StandardOpenOption.WRITE;
        try (FileChannel channel = FileChannel.open(path, mode)) {
            channel.force(true);
        }
    }

    public void open() throws DiskTrouble, InterruptedException {
        open(why -> {});
    }

    /** Returns once the database is open; a disk that takes no writes now is told of and tried again. */
    public void open(final Consumer<String> refused) throws DiskTrouble, InterruptedException {
        prepare();
        while (sql == null) {
            try {
                sql = connect();
            } catch (final IOException e) {
                refused.accept(e.toString());
                TimeUnit.MILLISECONDS.sleep(AGAIN_MS);
            } catch (final SQLException e) {
                if (!PASSING.contains(e.getErrorCode() & PRIMARY)) {
                    throw unusable(e);
                }
                refused.accept(e.getMessage());
                TimeUnit.MILLISECONDS.sleep(AGAIN_MS);
            }
        }
        thread.setDaemon(true);
        thread.start();
    }

    private void prepare() throws DiskTrouble {
        try {
            Files.createDirectories(home);
        } catch (final IOException e) {
            throw unusable(e);
        }
        if (!Files.isWritable(home)) {
            throw unusable(new IOException("it cannot be written to"));
        }
        if (!Files.isWritable(Path.of(System.getProperty("java.io.tmpdir")))) {
            System.setProperty("org.sqlite.tmpdir", home.toString());
        }
    }

    private DiskTrouble unusable(final Exception e) {
        return new DiskTrouble("data folder " + home + " is not usable: " + e.getMessage(), e);
    }

    private void syncAll() throws IOException {
        try (Stream<Path> files = Files.list(home)) {
            for (final Path file : files.filter(Files::isRegularFile).sorted().toList()) {
                syncer.sync(file);
            }
        }
        syncer.sync(home);
    }

    private Connection connect() throws SQLException, IOException {
        syncAll();
        final Connection c = DriverManager.getConnection("jdbc:sqlite:" + home.resolve("items.db"));
        try (Statement s = c.createStatement()) {
            s.execute("PRAGMA locking_mode=EXCLUSIVE");
            s.execute("PRAGMA journal_mode=WAL");
            s.execute("PRAGMA synchronous=FULL");
            s.execute("CREATE TABLE IF NOT EXISTS rows (k TEXT PRIMARY KEY, v BLOB NOT NULL) WITHOUT ROWID");
            c.setAutoCommit(false);
            syncer.sync(home);
            return c;
        } catch (final SQLException | IOException e) {
            c.close();
            throw e;
        }
    }

    /** After a failed commit nothing of the old connection is trusted: its journal is played back by a new one. */
    private boolean whole() {
        if (!broken) {
            return true;
        }
        try {
            sql.close();
            sql = connect();
            broken = false;
        } catch (final SQLException | IOException e) {
            broken = true;
        }
        return !broken;
    }

    @Override
    public Map<String, byte[]> load() throws DiskTrouble {
        final Map<String, byte[]> map = new HashMap<>();
        try (Statement s = sql.createStatement();
                ResultSet r = s.executeQuery("SELECT k, v FROM rows")) {
            while (r.next()) {
                map.put(r.getString(1), r.getBytes(2));
            }
            return map;
        } catch (final SQLException e) {
            throw new DiskTrouble("rows cannot be read: " + e.getMessage(), e);
        }
    }

    @Override
    public void save(final Map<String, byte[]> rows, final Consumer<Boolean> done) {
        if (!ring.offer(new Job(new HashMap<>(rows), done))) {
            loop.post(() -> done.accept(false));
        }
    }

    public void stop() {
        on = false;
        thread.interrupt();
    }

    private void run() {
        final List<Job> list = new ArrayList<>();
        while (on) {
            list.clear();
            try {
                list.add(ring.take());
            } catch (final InterruptedException e) {
                return;
            }
            ring.drainTo(list, 255);
            final boolean ok = commit(list);
            list.forEach(j -> loop.post(() -> j.done().accept(ok)));
        }
    }

    private boolean commit(final List<Job> list) {
        if (!whole()) {
            return false;
        }
        try (PreparedStatement put = sql.prepareStatement("INSERT OR REPLACE INTO rows (k, v) VALUES (?, ?)");
                PreparedStatement del = sql.prepareStatement("DELETE FROM rows WHERE k = ?")) {
            for (final Job j : list) {
                for (final Map.Entry<String, byte[]> e : j.rows().entrySet()) {
                    if (e.getValue() == null) {
                        del.setString(1, e.getKey());
                        del.executeUpdate();
                    } else {
                        put.setString(1, e.getKey());
                        put.setBytes(2, e.getValue());
                        put.executeUpdate();
                    }
                }
            }
            sql.commit();
            return true;
        } catch (final SQLException e) {
            broken = true;
            return false;
        } catch (final RuntimeException | Error e) {
            Guard.failed(e);
            broken = true;
            return false;
        }
    }
}
