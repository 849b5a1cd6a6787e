import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** An origin's only beat comes late, after its end has been acknowledged. */
final class LateBeat {
    private static final long DRAIN_MS = 2000;
    private static final long LATE_MS = 2500;

    private LateBeat() {}

    public static void main(final String[] args) throws Exception {
        Kit.main(Path.of(args[0]), 4, 2, LateBeat::run);
    }

    private static Origin.Reply look(final Origin.Asked asked) {
        try {
            Thread.sleep(90);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return new Origin.Reply(
                200,
                Map.of("X-Edge-Seal", "s." + asked.headers().get("x-attempt-id")),
                "fine".getBytes(StandardCharsets.UTF_8));
    }

    private static boolean run(final Kit kit) throws Exception {
        final Origin stays = new Origin(kit, "i-till1", "till", kit.at(101), 2, LateBeat::look);
        final Origin leaves = new Origin(kit, "i-till2", "till", kit.at(102), 2, LateBeat::look);
        kit.startAll(Sites.status(), List.of(stays));
        final String path = "/api/instances/" + leaves.id();
        final String beat = leaves.beat("ready");
        final long sentAt = kit.ms();
        kit.say("origin " + leaves.id() + " has started and sends its first beat"
                + (kit.trouble ? ", which will be late" : ""));
        if (!kit.trouble && kit.operator("PUT", 1, path, beat).status() != 200) {
            throw new Kit.CannotRun("the beat is not acknowledged");
        }
        kit.sleepUntil(sentAt + 600);
        kit.say("origin " + leaves.id() + " is stopped again, says DELETE and serves on");
        if (kit.operator("DELETE", 2, path, null).status() != 200) {
            throw new Kit.CannotRun("the end is not acknowledged");
        }
        final long acknowledged = kit.ms();
        kit.sleepUntil(sentAt + LATE_MS);
        if (kit.trouble) {
            kit.say("the late beat arrives");
            kit.operator("PUT", 1, path, beat);
        }
        for (int i = 0; i < 200; i++) {
            kit.client(1 + i % 2, "shop.example", "GET", "/status/" + i, 1200, Map.of(), null);
        }
        final List<Origin.Asked> late = leaves.runs().stream()
                .filter(asked -> asked.at() > acknowledged + DRAIN_MS)
                .toList();
        late.stream().limit(5).forEach(asked -> kit.say("DRAIN: " + asked.headers().get("x-attempt-id") + " reached "
                + leaves.id() + " " + (asked.at() - acknowledged) + " ms after its end was acknowledged"));
        kit.say(late.size() + " requests reached the origin that had ended");
        return !late.isEmpty();
    }
}
