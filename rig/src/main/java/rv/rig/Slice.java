package rv.rig;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rv.rig.sim.Play;

/** Reasons of refusal, second by second, of one simulated scenario. */
public final class Slice {
    private Slice() {
    }

    public static void main(final String[] a) throws Exception {
        final Script s = Script.read(java.nio.file.Files.readAllBytes(java.nio.file.Path.of(a[0])), new java.util.ArrayList<>());
        final Map<Long, Map<String, Integer>> all = new TreeMap<>();
        for (final Map<String, Object> r : new Play(s, Long.parseLong(a[1])).run()) {
            if ("req".equals(r.get("log"))) {
                final String why = r.get("why") == null ? String.valueOf(r.get("fate")) : String.valueOf(r.get("why")).replaceAll(".*reason\":\"([^\"]*)\".*", "$1");
                all.computeIfAbsent(((Number) r.get("t")).longValue() / 1000, k -> new TreeMap<>()).merge(why, 1, Integer::sum);
            }
        }
        all.forEach((t, m) -> System.out.println(t + " " + m));
    }
}
