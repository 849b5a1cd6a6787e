package rv.prog;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
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
import java.util.concurrent.ArrayBlockingQueue;
import java.util.function.Consumer;
import rv.base.Disk;
import rv.base.DiskTrouble;
import rv.base.Loop;

/** The disk duty: one thread, one SQLite file, one synced transaction for all that waits. */
public final class SqlDisk implements Disk {
    private final Loop loop;
    private final Path home;
    private final ArrayBlockingQueue<Job> ring = new ArrayBlockingQueue<>(4096);
    private final Thread thread = new Thread(this::run, "disk");
    private Connection sql;
    private volatile boolean on = true;
    private boolean broken;

    private record Job(Map<String, byte[]> rows, Consumer<Boolean> done) {}

    public SqlDisk(final Loop loop, final Path home) {
        this.loop = loop;
        this.home = home;
    }

    public void open() throws DiskTrouble {
        try {
            Files.createDirectories(home);
            if (!Files.isWritable(Path.of(System.getProperty("java.io.tmpdir")))) {
                System.setProperty("org.sqlite.tmpdir", home.toString());
            }
            sql = connect();
            thread.setDaemon(true);
            thread.start();
        } catch (final IOException | SQLException e) {
            throw new DiskTrouble("data folder " + home + " is not usable: " + e.getMessage(), e);
        }
    }

    private Connection connect() throws SQLException {
        final Connection c = DriverManager.getConnection("jdbc:sqlite:" + home.resolve("items.db"));
        try (Statement s = c.createStatement()) {
            s.execute("PRAGMA locking_mode=EXCLUSIVE");
            s.execute("PRAGMA journal_mode=WAL");
            s.execute("PRAGMA synchronous=FULL");
            s.execute("CREATE TABLE IF NOT EXISTS rows (k TEXT PRIMARY KEY, v BLOB NOT NULL) WITHOUT ROWID");
            c.setAutoCommit(false);
            return c;
        } catch (final SQLException e) {
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
        } catch (final SQLException e) {
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
        }
    }
}
