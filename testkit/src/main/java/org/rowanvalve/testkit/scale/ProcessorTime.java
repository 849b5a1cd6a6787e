package org.rowanvalve.testkit.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;

/**
 * Processor time of the whole machine since its start, in clock ticks.
 *
 * @param total over all processors
 * @param idle in which nothing ran
 * @param stolen in which the machine wanted to run, and whoever hosts it did not let it
 */
public record ProcessorTime(long total, long idle, long stolen) {
    private static final Path FILE = Path.of("/proc/stat");
    private static final int IDLE = 3;
    private static final int WAITING = 4;
    private static final int STOLEN = 7;
    private static final int FIELDS = 8;
    /** Milliseconds of one clock tick. */
    static final double TICK_MS = 10;

    /** Shares of the processor time, from 0 to 1. */
    public record Shares(double idle, double stolen) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%.0f %% idle, %.0f %% withheld by its host", 100 * idle, 100 * stolen);
        }
    }

    public static ProcessorTime now() throws IOException {
        return parse(Files.readAllLines(FILE).get(0));
    }

    /** {@code line}: the first one of the kernel's file. */
    static ProcessorTime parse(final String line) {
        final long[] ticks = Arrays.stream(line.strip().split("\\s+"))
                .skip(1)
                .limit(FIELDS)
                .mapToLong(Long::parseLong)
                .toArray();
        return new ProcessorTime(Arrays.stream(ticks).sum(), ticks[IDLE] + ticks[WAITING], ticks[STOLEN]);
    }

    /** Ticks in which something ran or wanted to run. */
    long busy() {
        return total - idle;
    }

    /** Of the time from this reading until now. */
    public Shares usedSince() throws IOException {
        return until(now());
    }

    Shares until(final ProcessorTime later) {
        final double span = Math.max(1, later.total - total);
        return new Shares((later.idle - idle) / span, (later.stolen - stolen) / span);
    }
}
