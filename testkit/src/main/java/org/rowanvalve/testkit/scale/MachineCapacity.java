package org.rowanvalve.testkit.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The resources of this machine, and whether a number of lightweight nodes fits into half of them. */
public record MachineCapacity(long memoryMb, long heapMb, long files, long threads, double cores) {
    private static final double NODE_MB = 0.6;
    private static final double PEER_MB = 0.0025;
    private static final double REST_MB = 900;
    private static final double NODE_CORE = 0.01;
    private static final int NODE_FILES = 24;

    public static MachineCapacity here() throws IOException {
        return new MachineCapacity(
                number(Path.of("/proc/meminfo"), "MemTotal:", 2L << 20) / 1024,
                Runtime.getRuntime().maxMemory() >> 20,
                number(Path.of("/proc/self/limits"), "Max open files", 1024),
                number(Path.of("/proc/sys/kernel/threads-max"), "", 4096),
                Runtime.getRuntime().availableProcessors());
    }

    /** The first number after {@code word}. */
    private static long number(final Path file, final String word, final long other) throws IOException {
        if (!Files.isReadable(file)) {
            return other;
        }
        return Files.readAllLines(file).stream()
                .filter(l -> l.startsWith(word))
                .findFirst()
                .map(l -> l.substring(word.length()).strip().split("\\s+")[0])
                .filter(t -> t.matches("[0-9]+"))
                .map(Long::parseLong)
                .orElse(other);
    }

    /** Why {@code nodes} do not fit; empty where they do. */
    List<String> lacks(final int nodes) {
        final List<String> list = new ArrayList<>();
        final double heap = nodes * (NODE_MB + PEER_MB * nodes);
        less(list, nodes, "MB of memory", heap + REST_MB, memoryMb / 2.0, "half of this machine's " + memoryMb);
        less(list, nodes, "MB of heap", heap, heapMb, "of this process");
        less(
                list,
                nodes,
                "open files",
                (double) nodes * NODE_FILES + 2.0 * LightweightNodes.shields(nodes) * LightweightNodes.shields(nodes),
                files,
                "allowed to this process");
        less(list, nodes, "threads", 2.0 * nodes, threads / 2.0, "half of this machine's " + threads);
        less(list, nodes, "cores", nodes * NODE_CORE, cores / 2, "half of this machine's " + (int) cores);
        return list;
    }

    private static void less(
            final List<String> list,
            final int nodes,
            final String what,
            final double need,
            final double has,
            final String why) {
        if (need > has) {
            list.add(String.format(
                    Locale.ROOT, "%d nodes need %.0f %s, there are %.0f, %s", nodes, need, what, has, why));
        }
    }
}
