package rv.rig.sim;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rv.rig.Place;
import rv.rig.Script;
import rv.rig.judge.Judge;

/** Days in the simulator: {@code PLACE FIRST-SEED LAST-SEED TROUBLES [-v]}. */
public final class Try {
    private Try() {
    }

    public static void main(final String[] a) {
        final long from = Long.parseLong(a[1]);
        final long to = Long.parseLong(a[2]);
        java.util.stream.LongStream.rangeClosed(from, to).parallel().forEach(seed -> {
            final Script day = Script.day(Place.of(a[0]), seed, Integer.parseInt(a[3]), 4000);
            final long t = System.currentTimeMillis();
            final Play play = new Play(day, seed);
            final List<Map<String, Object>> rows = play.run();
            final Judge judge = new Judge(rows);
            final Map<String, Integer> fates = new TreeMap<>();
            rows.stream().filter(r -> "req".equals(r.get("log"))).forEach(r -> fates.merge(r.get("mode") + " " + r.get("fate") + " " + r.get("status"), 1, Integer::sum));
            final StringBuilder s = new StringBuilder("seed " + seed + " " + (judge.clean() ? "clean" : "BROKEN") + " " + play.missed() + " "
                + (System.currentTimeMillis() - t) + " ms\n");
            if (!judge.clean() || a.length > 4) {
                day.steps().forEach(x -> s.append("  ").append(x).append('\n'));
                s.append(judge.text(4)).append(fates).append('\n');
            }
            System.out.print(s);
        });
    }
}
