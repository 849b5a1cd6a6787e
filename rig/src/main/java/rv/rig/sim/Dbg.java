package rv.rig.sim;
import java.util.*;
import rv.rig.*;
public final class Dbg {
    public static void main(final String[] a) {
        final Script day = Script.day(Place.of(a[0]), Long.parseLong(a[1]), Integer.parseInt(a[2]), 4000);
        final Play play = new Play(day, Long.parseLong(a[1]));
        final long lo = Long.parseLong(a[3]), hi = Long.parseLong(a[4]);
        for (Map<String,Object> r : play.run()) {
            final long t = ((Number) r.get("t")).longValue();
            if (t >= lo && t <= hi && r.toString().matches(a[5])) System.out.println(r);
        }
    }
}
