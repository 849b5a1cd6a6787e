package org.rowanvalve.testkit.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** One small chart for each figure, over the number of nodes. */
final class Chart {
    private Chart() {}

    static void draw(final List<Map<String, Double>> rows, final List<String> names, final Path file)
            throws IOException {
        System.setProperty("java.awt.headless", "true");
        final double[] x = rows.stream().mapToDouble(r -> r.get("nodes")).toArray();
        final List<XYChart> charts = new ArrayList<>();
        for (final String name : names) {
            final XYChart chart = new XYChartBuilder()
                    .width(420)
                    .height(280)
                    .title(name)
                    .xAxisTitle("nodes")
                    .build();
            chart.getStyler().setYAxisMin(0.0).setLegendVisible(false);
            chart.addSeries(name, x, rows.stream().mapToDouble(r -> r.get(name)).toArray());
            charts.add(chart);
        }
        BitmapEncoder.saveBitmap(charts, (names.size() + 2) / 3, 3, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
