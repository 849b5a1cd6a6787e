import java.util.concurrent.TimeUnit;

/** The first beat of an origin comes seconds late, after the origin has said that it has ended. */
final class LateBeat {
    private static final int SHIELDS = 4;
    private static final int EDGES = 1;
    private static final long DRAIN_MS = 2500;

    public static void main(final String[] args) throws Exception {
        final Rig rig = new Rig(args[0], SHIELDS);
        rig.startAll(EDGES);
        final Stand old = new Stand(rig, rig.at(21), "i-till1", "till", 2);
        final Stand young = new Stand(rig, rig.at(22), "i-till2", "till", 2);
        rig.configure(
                Configs.patch(
                        Configs.routes(
                                Configs.route("r-book", "/book/", "keyed", 4000, 600, 2, "null", "00000007", "till"),
                                Configs.route("r-look", "/look/", "idempotent", 3000, 500, 2, "null", "00000007", "till")),
                        Configs.services("00000007", "till"),
                        Configs.limits("00000007")),
                EDGES);
        old.announce();
        old.workMs = path -> 120L;
        young.workMs = path -> 120L;
        rig.await("an answer", 20_000,
                () -> rig.ask(SHIELDS + 1, "GET", "/look/0", null, 3000, rig.nextId("first")).status() == 200);
        Rig.pause(5000);

        // The new origin's only beat so far: on its way for 3 s with the disruption, at once without it.
        final Rig.SlowRelay relay = new Rig.SlowRelay(rig.at(30), rig.at(1) + ":" + Rig.CONTROL, Rig.trouble() ? 3000 : 0);
        final String beat = young.beat("ready");
        rig.note("origin i-till2 starts; beat: " + beat);
        final Thread late = Rig.spawn(() -> {
            final Rig.Reply reply =
                    Rig.call(relay.address(), "PUT", young.path(), beat, 6000, "Content-Type", "application/json");
            rig.note("the beat's answer, for nobody any more if it came after a second: " + reply);
        });
        Rig.pause(700);
        final Rig.Reply gone = rig.control(2, "DELETE", young.path(), null, 4);
        final long goneAt = rig.ms();
        rig.note("DELETE of i-till2: " + gone);
        young.leaving = true;
        if (gone.status() != 200) {
            rig.end(2);
        }
        late.join(TimeUnit.SECONDS.toMillis(8));

        // Clients go on; the origin serves on for some seconds and ends.
        final java.util.concurrent.atomic.AtomicInteger served = new java.util.concurrent.atomic.AtomicInteger();
        final java.util.List<Thread> clients = new java.util.ArrayList<>();
        for (int c = 0; c < 4; c++) {
            clients.add(Rig.spawn(() -> {
                for (int i = 0; rig.ms() - goneAt < 12_000; i++) {
                    final boolean keyed = i % 3 == 0;
                    final String id = rig.nextId("try");
                    final Rig.Reply reply = keyed
                            ? rig.ask(SHIELDS + 1, "POST", "/book/1", "{}", 4000, id, "X-Operation-Key", "k-" + id)
                            : rig.ask(SHIELDS + 1, "GET", "/look/1", null, 3000, id);
                    if (reply.status() == 200) {
                        served.incrementAndGet();
                    } else {
                        rig.note("client: " + id + (keyed ? " (keyed): " : ": ") + reply);
                    }
                    Rig.pause(60);
                }
            }));
        }
        Rig.pause(10_000 - (rig.ms() - goneAt));
        young.close();
        rig.note("origin i-till2 has ended");
        for (final Thread client : clients) {
            client.join(6000);
        }
        int afterwards = 0;
        for (final Stand.Work work : young.works) {
            if (work.begunAt - goneAt > DRAIN_MS) {
                afterwards++;
            }
        }
        rig.note(served.get() + " served; " + young.works.size() + " requests reached i-till2 in all, " + afterwards
                + " of them later than " + DRAIN_MS + " ms after the acknowledgement that it is gone");
        if (served.get() < 20) {
            rig.end(2);
        }
        rig.end(afterwards > 0 ? 1 : 0);
    }
}
