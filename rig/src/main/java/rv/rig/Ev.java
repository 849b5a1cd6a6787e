package rv.rig;
import java.util.*;
import rv.rig.sim.Play;
public final class Ev {
    public static void main(final String[] a) throws Exception {
        final Script s = Script.read(java.nio.file.Files.readAllBytes(java.nio.file.Path.of(a[0])), new ArrayList<>());
        for (Map<String,Object> r : new Play(s, Long.parseLong(a[1])).run()) {
            final long t = ((Number) r.get("t")).longValue();
            if (t >= Long.parseLong(a[2]) && t <= Long.parseLong(a[3]) && r.toString().matches(a[4])) System.out.println(r);
        }
    }
}
