package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.MessageCodec;
import org.rowanvalve.common.message.Register;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.StableStorage;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.consensus.Acceptor;
import org.rowanvalve.control.consensus.MonitoredStorage;
import org.rowanvalve.control.record.KeyedRecordStore;
import org.rowanvalve.control.record.RecordRetention;
import org.rowanvalve.control.voting.Quorum;
import org.rowanvalve.control.voting.VotingConfiguration;
import org.rowanvalve.server.storage.SqliteStorage;
import org.rowanvalve.server.thread.CoreEventLoop;

/**
 * Whole files of a shield and of a store, written by the programs of 8a06094: with updates, a later voting set, keyed
 * records and purges. A voter of this build starts from them and has all of it.
 */
class StoredFilesTest {
    private static final String REGISTER = "e/";
    private static final String RECORD = "k/";
    private static final long RETENTION_MS = 60_000;
    private static final Transport NOBODY = (recipient, message, timeoutMs, callback) -> {};

    @TempDir
    private Path directory;

    private Map<String, byte[]> rows(final String file) throws Exception {
        Files.copy(Path.of("src", "test", "resources", "stored", file), directory.resolve("items.db"));
        final CoreEventLoop loop = new CoreEventLoop();
        final SqliteStorage storage = new SqliteStorage(loop, directory);
        try {
            storage.open();
            return storage.load();
        } finally {
            storage.stop();
        }
    }

    /** Rows in memory; what is saved is taken at once. */
    private record Rows(Map<String, byte[]> rows) implements StableStorage {
        @Override
        public Map<String, byte[]> load() {
            return new HashMap<>(rows);
        }

        @Override
        public void save(final Map<String, byte[]> changed, final Consumer<Boolean> done) {
            done.accept(true);
        }
    }

    /** Time that stands still at the moment at which the files were written. */
    private static final class StillLoop implements EventLoop {
        @Override
        public long now() {
            return 0;
        }

        @Override
        public void schedule(final long delayMs, final Runnable task) {}
    }

    private static long count(final Map<String, byte[]> rows, final String prefix) {
        return rows.keySet().stream().filter(key -> key.startsWith(prefix)).count();
    }

    @ParameterizedTest
    @CsvSource({"shield-items.db, 39", "store-items.db, 405"})
    void everyRegisterIsReadAndWrittenToTheByte(final String file, final int expectedRows) throws Exception {
        final Map<String, byte[]> rows = rows(file);
        assertEquals(expectedRows, rows.size());
        for (final Map.Entry<String, byte[]> row : rows.entrySet()) {
            if (row.getKey().startsWith(REGISTER)) {
                final Register register = MessageCodec.decode(row.getValue(), Register.class);
                assertEquals(row.getKey(), REGISTER + register.item().id().text());
                assertArrayEquals(row.getValue(), MessageCodec.encode(register), row.getKey());
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"shield-items.db, true", "store-items.db, false"})
    void aVoterStartsFromTheFile(final String file, final boolean laterSet) throws Exception {
        final Map<String, byte[]> rows = rows(file);
        final EventLoop loop = new StillLoop();
        final NodeId self = NodeId.of("st1");
        final VotingConfiguration voting = VotingConfiguration.of(new Quorum(
                List.of(self, NodeId.of("st2"), NodeId.of("sh1")),
                laterSet ? Set.of() : Set.of(self, NodeId.of("st2"))));
        final MonitoredStorage storage = new MonitoredStorage(new Rows(new ConcurrentHashMap<>(rows)), loop);
        final EventJournal journal = new EventJournal(loop, 100);
        final Acceptor acceptor =
                new Acceptor(self, voting, loop, NOBODY, storage, journal, "again", false, () -> false);
        final KeyedRecordStore records = new KeyedRecordStore(
                self,
                "again",
                voting,
                NOBODY,
                loop,
                () -> 0,
                storage,
                journal,
                new RecordRetention(RETENTION_MS, () -> 0));
        acceptor.connectRecords(records);
        records.start();
        acceptor.start();
        assertTrue(acceptor.hasState());
        assertEquals(count(rows, REGISTER), acceptor.registers().size());
        assertEquals(count(rows, RECORD), records.size());
        assertTrue(records.size() > 0);
        assertTrue(acceptor.registers().containsKey(ItemId.PLAN));
        assertEquals(laterSet, voting.epoch() > 0, "the later voting set is gone by");
    }

    @Test
    void theShieldsFileHoldsWhatOperatorsStated() throws Exception {
        final Map<String, byte[]> rows = rows("shield-items.db");
        for (final ItemId id : List.of(ItemId.LEDGER, ItemId.PLAN, ItemId.LEADERSHIP, ItemId.VOTERS)) {
            assertTrue(rows.containsKey(REGISTER + id.text()), id.text());
        }
        for (final String prefix : List.of("e/ROUTE/", "e/SERVICE/", "e/PURGE/", "e/ORIGIN/", "e/LIMIT/")) {
            assertTrue(count(rows, prefix) > 0, prefix);
        }
    }
}
