package org.rowanvalve.testkit.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Lightweight nodes in steps of size: what each size costs, and the slope of each figure over the sizes. */
public final class ScaleRun {
    private static final List<String> CHARTED = List.of(
            "edge_bytes_s",
            "edge_messages_s",
            "edge_cpu_percent",
            "st1_cpu_percent",
            "heap_mb_node",
            "purge_everywhere_p50_ms");
    private final List<Integer> sizes;
    private final int shards;
    private final long seconds;
    private final Path dir;
    private final Path bin;

    public ScaleRun(final List<Integer> sizes, final int shards, final long seconds, final Path dir, final Path bin) {
        this.sizes = List.copyOf(sizes);
        this.shards = shards;
        this.seconds = seconds;
        this.dir = dir;
        this.bin = bin;
    }

    /** Sizes as {@code 50,150,430}; empty where a part is not a size. */
    public static List<Integer> sizes(final String text) {
        final String[] parts = text.split(",");
        return Arrays.stream(parts).allMatch(t -> t.matches("[0-9]{2,7}"))
                        && Arrays.stream(parts)
                                        .mapToInt(Integer::parseInt)
                                        .min()
                                        .orElse(0)
                                >= 12
                ? Arrays.stream(parts).map(Integer::valueOf).toList()
                : List.of();
    }

    /** What this machine lacks for the greatest size. */
    public List<String> lacks() throws IOException {
        return MachineCapacity.here()
                .lacks(sizes.stream().mapToInt(i -> i).max().orElse(0));
    }

    /** 0 where every size settled and every statement arrived everywhere. */
    public int run() throws IOException, InterruptedException {
        Files.createDirectories(dir);
        final List<Map<String, Double>> rows = new ArrayList<>();
        final StringBuilder kinds = new StringBuilder("nodes,kind,edge_bytes_s\n");
        for (final int n : sizes) {
            try (LightweightNodes herd = new LightweightNodes(n, shards, true, dir.resolve("run-" + n), bin)) {
                final ScaleStep step = new ScaleStep(herd, seconds);
                rows.add(step.run());
                step.kinds().forEach((k, v) -> kinds.append(String.format(Locale.ROOT, "%d,%s,%.1f%n", n, k, v)));
                System.out.println("step " + rows.get(rows.size() - 1));
            }
        }
        final List<String> csv =
                new ArrayList<>(List.of(String.join(",", rows.get(0).keySet())));
        rows.forEach(r -> csv.add(ScaleStep.line(r)));
        Files.write(dir.resolve("scale.csv"), csv);
        Files.writeString(dir.resolve("kinds.csv"), kinds);
        final Map<String, double[]> slopes = slopes(rows);
        System.out.print(kinds);
        slopes.forEach((k, v) -> System.out.printf(Locale.ROOT, "%-32s %10.3f + %8.4f per node%n", k, v[0], v[1]));
        Chart.draw(rows, CHARTED, dir.resolve("scale"));
        System.out.println("written: " + dir.resolve("scale.csv") + ", kinds.csv, scale.png");
        return rows.stream().allMatch(r -> r.get("settled_ms") >= 0 && r.get("unfinished") == 0) ? 0 : 1;
    }

    /** For each figure the line of least squares over the sizes: its foot and its slope. */
    static Map<String, double[]> slopes(final List<Map<String, Double>> rows) {
        final Map<String, double[]> map = new LinkedHashMap<>();
        final double n = rows.size();
        final double mx = rows.stream().mapToDouble(r -> r.get("nodes")).sum() / n;
        final double xx =
                rows.stream().mapToDouble(r -> Math.pow(r.get("nodes") - mx, 2)).sum();
        rows.get(0).keySet().stream().filter(k -> !k.equals("nodes")).forEach(k -> {
            final double my = rows.stream().mapToDouble(r -> r.get(k)).sum() / n;
            final double xy = rows.stream()
                    .mapToDouble(r -> (r.get("nodes") - mx) * (r.get(k) - my))
                    .sum();
            final double slope = xx == 0 ? 0 : xy / xx;
            map.put(k, new double[] {my - slope * mx, slope});
        });
        return map;
    }
}
