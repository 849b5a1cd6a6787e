package org.rowanvalve.server.storage;

import java.nio.file.Path;
import java.sql.DriverManager;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.rowanvalve.server.thread.CoreEventLoop;

/** A process of its own whose files can no longer grow for a while; prints what each save came to. */
final class FullDisk {
    private FullDisk() {}

    private static void limit(final String bytes) throws Exception {
        final int rc = new ProcessBuilder(
                        "prlimit",
                        "--pid",
                        String.valueOf(ProcessHandle.current().pid()),
                        "--fsize=" + bytes + ":unlimited")
                .start()
                .waitFor();
        if (rc != 0) {
            throw new IllegalStateException("prlimit " + rc);
        }
    }

    private static boolean save(final SqliteStorage disk, final String key, final int size) throws Exception {
        final Map<String, byte[]> rows = new HashMap<>();
        rows.put(key, new byte[size]);
        final CompletableFuture<Boolean> f = new CompletableFuture<>();
        disk.save(rows, f::complete);
        return f.get(20, TimeUnit.SECONDS);
    }

    private static void fullAtStart(final SqliteStorage disk) throws Exception {
        DriverManager.getConnection("jdbc:sqlite::memory:").close();
        limit("1");
        final int[] refusals = {0};
        disk.open(why -> {
            if (++refusals[0] == 3) {
                System.out.println("full " + why);
                lift();
            }
        });
        System.out.println("after " + save(disk, "c", 9000));
        System.out.println("rows " + new java.util.TreeSet<>(disk.load().keySet()));
    }

    private static void lift() {
        try {
            limit("unlimited");
        } catch (final Exception e) {
            throw new IllegalStateException(e);
        }
    }

    public static void main(final String[] args) {
        try {
            run(args);
            System.exit(0);
        } catch (final Exception e) {
            e.printStackTrace();
            System.exit(1);
        }
    }

    private static void run(final String... args) throws Exception {
        final CoreEventLoop loop = new CoreEventLoop();
        loop.start();
        final SqliteStorage disk = new SqliteStorage(loop, Path.of(args[0]));
        if (args.length > 1) {
            fullAtStart(disk);
            return;
        }
        disk.open();
        System.out.println("before " + save(disk, "a", 100));
        limit("1");
        for (int i = 0; i < 5; i++) {
            System.out.println("full " + save(disk, "b" + i, 9000));
        }
        limit("unlimited");
        System.out.println("after " + save(disk, "c", 9000));
        System.out.println("again " + save(disk, "d", 100));
        System.out.println("rows " + new java.util.TreeSet<>(disk.load().keySet()));
    }
}
