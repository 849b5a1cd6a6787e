package org.rowanvalve.testkit.scale;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.file.Files;
import java.nio.file.Path;
import org.rowanvalve.testkit.fleet.FleetMachine;

/** Processor time and memory of threads, processes and the whole machine. */
public final class ResourceUsage {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private ResourceUsage() {}

    /** Milliseconds of processor time that a hollow node's two threads have had. */
    static double node(final LightweightNode node) {
        return (thread(node.core()) + thread(node.tally().wire())) / 1e6;
    }

    private static long thread(final long id) {
        return id == 0 ? 0 : Math.max(0, THREADS.getThreadCpuTime(id));
    }

    private static String[] stat(final long pid) throws IOException {
        final String line = Files.readString(Path.of("/proc/" + pid + "/stat"));
        return line.substring(line.lastIndexOf(')') + 2).split(" ");
    }

    static double process(final FleetMachine machine) throws IOException {
        final String[] f = machine.alive() ? stat(machine.pid()) : new String[0];
        return f.length < 13 ? 0 : ProcessorTime.TICK_MS * (Long.parseLong(f[11]) + Long.parseLong(f[12]));
    }

    public static double residentMb(final FleetMachine machine) throws IOException {
        return machine.alive() ? Long.parseLong(stat(machine.pid())[21]) * 4096 / 1048576.0 : 0;
    }

    static double heapMb() {
        System.gc();
        return (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()) / 1048576.0;
    }

    /** Milliseconds for which the machine's processors were busy, all work together. */
    static double machine() throws IOException {
        return ProcessorTime.TICK_MS * ProcessorTime.now().busy();
    }
}
