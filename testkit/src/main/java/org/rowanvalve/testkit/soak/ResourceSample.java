package org.rowanvalve.testkit.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import org.rowanvalve.testkit.fleet.FleetMachine;
import org.rowanvalve.testkit.scale.ResourceUsage;

/**
 * What one process uses.
 *
 * @param changes how many changes had been acknowledged
 * @param residentKb resident memory in KB
 * @param diskBytes size of its data folder, 0 without one
 */
record ResourceSample(long changes, double residentKb, double descriptors, double threads, double diskBytes) {
    private static final double KB_PER_MB = 1024;

    /** The figures, by the name that a report gives them. */
    enum Figure {
        MEMORY("resident memory, KB", ResourceSample::residentKb),
        DESCRIPTORS("descriptors", ResourceSample::descriptors),
        THREADS("threads", ResourceSample::threads),
        DISK("data folder, bytes", ResourceSample::diskBytes);

        private final String label;
        private final ToDoubleFunction<ResourceSample> value;

        Figure(final String label, final ToDoubleFunction<ResourceSample> value) {
            this.label = label;
            this.value = value;
        }

        String label() {
            return label;
        }

        double of(final ResourceSample sample) {
            return value.applyAsDouble(sample);
        }
    }

    /** Empty where the process has ended. */
    static Optional<ResourceSample> of(final FleetMachine machine, final long changes) {
        if (!machine.alive()) {
            return Optional.empty();
        }
        final Path process = Path.of("/proc", String.valueOf(machine.pid()));
        try {
            return Optional.of(new ResourceSample(
                    changes,
                    KB_PER_MB * ResourceUsage.residentMb(machine),
                    count(process.resolve("fd")),
                    count(process.resolve("task")),
                    machine.hasDisk() ? size(machine.data()) : 0));
        } catch (final IOException | java.io.UncheckedIOException e) {
            return Optional.empty();
        }
    }

    private static double count(final Path folder) throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.count();
        }
    }

    private static double size(final Path folder) throws IOException {
        if (!Files.exists(folder)) {
            return 0;
        }
        double sum = 0;
        try (Stream<Path> all = Files.list(folder)) {
            for (final Path file : all.toList()) {
                sum += Files.size(file);
            }
        }
        return sum;
    }
}
