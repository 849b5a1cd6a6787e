package org.rowanvalve.server.storage;

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
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.StableStorage;
import org.rowanvalve.common.runtime.StorageException;
import org.rowanvalve.server.thread.ThreadGuard;

/**
 * Stable storage in one SQLite file: one thread, one synced transaction for all that waits.
 *
 * <p>What a process finds at its start may be no safer than the memory of the machine: an earlier process that was
 * killed may have written files, or created them, without a sync. A row that is read, or a commit into a write-ahead
 * log whose name was never synced, would be lost with the power. So all files and the directory are synced before
 * SQLite reads them, and the directory once more after SQLite has created or removed its own.
 */
public final class SqliteStorage implements StableStorage {
    private static final long RETRY_MS = 250;
    /** SQLite's primary result codes for a disk that may take writes again. */
    private static final Set<Integer> TRANSIENT_ERRORS = Set.of(5, 10, 13, 14);

    private static final int PRIMARY_CODE_MASK = 0xff;
    private final EventLoop loop;
    private final Path directory;
    private final Syncer syncer;
    private final ArrayBlockingQueue<WriteRequest> writeQueue = new ArrayBlockingQueue<>(4096);
    private final Thread thread = new Thread(this::run, "disk");
    private Connection connection;
    private volatile boolean running = true;
    private boolean broken;

    private record WriteRequest(Map<String, byte[]> rows, Consumer<Boolean> callback) {}

    /** Makes a file's contents, or a directory's entries, survive a loss of power. */
    @FunctionalInterface
    interface Syncer {
        void sync(Path path) throws IOException;
    }

    public SqliteStorage(final EventLoop loop, final Path directory) {
        this(loop, directory, SqliteStorage::force);
    }

    SqliteStorage(final EventLoop loop, final Path directory, final Syncer syncer) {
        this.loop = loop;
        this.directory = directory;
        this.syncer = syncer;
    }

    private static void force(final Path path) throws IOException {
        final OpenOption mode = Files.isDirectory(path) ? StandardOpenOption.READ : StandardOpenOption.WRITE;
        try (FileChannel channel = FileChannel.open(path, mode)) {
            channel.force(true);
        }
    }

    /** Opens the database; see {@link #open(Consumer)}. */
    public void open() throws StorageException, InterruptedException {
        open(reason -> {});
    }

    /** Returns once the database is open; a disk that takes no writes now is reported and tried again. */
    public void open(final Consumer<String> onRefused) throws StorageException, InterruptedException {
        prepareDirectory();
        while (connection == null) {
            try {
                connection = connect();
            } catch (final IOException e) {
                onRefused.accept(e.toString());
                TimeUnit.MILLISECONDS.sleep(RETRY_MS);
            } catch (final SQLException e) {
                if (!TRANSIENT_ERRORS.contains(e.getErrorCode() & PRIMARY_CODE_MASK)) {
                    throw unusableDirectory(e);
                }
                onRefused.accept(e.getMessage());
                TimeUnit.MILLISECONDS.sleep(RETRY_MS);
            }
        }
        thread.setDaemon(true);
        thread.start();
    }

    private void prepareDirectory() throws StorageException {
        try {
            Files.createDirectories(directory);
        } catch (final IOException e) {
            throw unusableDirectory(e);
        }
        if (!Files.isWritable(directory)) {
            throw unusableDirectory(new IOException("it cannot be written to"));
        }
        if (!Files.isWritable(Path.of(System.getProperty("java.io.tmpdir")))) {
            System.setProperty("org.sqlite.tmpdir", directory.toString());
        }
    }

    private StorageException unusableDirectory(final Exception e) {
        return new StorageException("data folder " + directory + " is not usable: " + e.getMessage(), e);
    }

    private void syncAll() throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            for (final Path file : files.filter(Files::isRegularFile).sorted().toList()) {
                syncer.sync(file);
            }
        }
        syncer.sync(directory);
    }

    private Connection connect() throws SQLException, IOException {
        syncAll();
        final Connection opened = DriverManager.getConnection("jdbc:sqlite:" + directory.resolve("items.db"));
        try (Statement statement = opened.createStatement()) {
            statement.execute("PRAGMA locking_mode=EXCLUSIVE");
            statement.execute("PRAGMA journal_mode=WAL");
            statement.execute("PRAGMA synchronous=FULL");
            statement.execute("CREATE TABLE IF NOT EXISTS rows (k TEXT PRIMARY KEY, v BLOB NOT NULL) WITHOUT ROWID");
            opened.setAutoCommit(false);
            syncer.sync(directory);
            return opened;
        } catch (final SQLException | IOException e) {
            opened.close();
            throw e;
        }
    }

    /** After a failed commit nothing of the old connection is trusted: its journal is played back by a new one. */
    private boolean reconnectIfBroken() {
        if (!broken) {
            return true;
        }
        try {
            connection.close();
            connection = connect();
            broken = false;
        } catch (final SQLException | IOException e) {
            broken = true;
        }
        return !broken;
    }

    @Override
    public Map<String, byte[]> load() throws StorageException {
        final Map<String, byte[]> map = new HashMap<>();
        try (Statement statement = connection.createStatement();
                ResultSet rows = statement.executeQuery("SELECT k, v FROM rows")) {
            while (rows.next()) {
                map.put(rows.getString(1), rows.getBytes(2));
            }
            return map;
        } catch (final SQLException e) {
            throw new StorageException("rows cannot be read: " + e.getMessage(), e);
        }
    }

    @Override
    public void save(final Map<String, byte[]> rows, final Consumer<Boolean> done) {
        if (!writeQueue.offer(new WriteRequest(new HashMap<>(rows), done))) {
            loop.execute(() -> done.accept(false));
        }
    }

    /** Ends the thread; rows not synced by then are not saved. */
    public void stop() {
        running = false;
        thread.interrupt();
    }

    private void run() {
        final List<WriteRequest> batch = new ArrayList<>();
        while (running) {
            batch.clear();
            try {
                batch.add(writeQueue.take());
            } catch (final InterruptedException e) {
                return;
            }
            writeQueue.drainTo(batch, 255);
            final boolean ok = commit(batch);
            batch.forEach(write -> loop.execute(() -> write.callback().accept(ok)));
        }
    }

    private boolean commit(final List<WriteRequest> batch) {
        if (!reconnectIfBroken()) {
            return false;
        }
        try (PreparedStatement insert =
                        connection.prepareStatement("INSERT OR REPLACE INTO rows (k, v) VALUES (?, ?)");
                PreparedStatement delete = connection.prepareStatement("DELETE FROM rows WHERE k = ?")) {
            for (final WriteRequest write : batch) {
                for (final Map.Entry<String, byte[]> entry : write.rows().entrySet()) {
                    if (entry.getValue() == null) {
                        delete.setString(1, entry.getKey());
                        delete.executeUpdate();
                    } else {
                        insert.setString(1, entry.getKey());
                        insert.setBytes(2, entry.getValue());
                        insert.executeUpdate();
                    }
                }
            }
            connection.commit();
            return true;
        } catch (final SQLException e) {
            broken = true;
            return false;
        } catch (final RuntimeException | Error e) {
            ThreadGuard.logFailure(e);
            broken = true;
            return false;
        }
    }
}
