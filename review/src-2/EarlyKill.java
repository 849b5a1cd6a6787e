/**
 * All core processes are killed while the whole system starts for the first time, and return within a second with their
 * disks. From then on an operator sends the first configuration, again and again, to all nodes in turn.
 */
final class EarlyKill {
    private static final int SHIELDS = 4;
    private static final int EDGES = 1;
    private static final long KILL_AFTER_MS = 200;
    private static final long DOWN_MS = 300;
    /** Three times recovery_s, and more than ten times ack_timeout_ms. */
    private static final long WAIT_MS = 45_000;

    public static void main(final String[] args) throws Exception {
        final Rig rig = new Rig(args[0], SHIELDS);
        rig.start(SHIELDS + EDGES, true);
        for (int shield = 1; shield <= SHIELDS; shield++) {
            rig.start(shield, true);
        }
        if (Rig.trouble()) {
            Rig.pause(KILL_AFTER_MS);
            for (int shield = 1; shield <= SHIELDS; shield++) {
                rig.signal(shield, "KILL");
            }
            for (int shield = 1; shield <= SHIELDS; shield++) {
                rig.awaitEnd(shield, 2000);
            }
            Rig.pause(DOWN_MS);
            // No longer the first start of the system: first_boot is false. The disks are as the kill left them.
            for (int shield = 1; shield <= SHIELDS; shield++) {
                rig.start(shield, false);
            }
        }
        final long backAt = rig.ms();
        final Stand till = new Stand(rig, rig.at(21), "i-till1", "till", 4);
        final String configuration = Configs.patch(
                Configs.routes(Configs.route("r-look", "/look/", "idempotent", 3000, 500, 2, "null", "00000007", "till")),
                Configs.services("00000007", "till"),
                Configs.limits("00000007"));
        long acknowledgedAt = 0;
        boolean served = false;
        int calls = 0;
        String last = "";
        int machine = 0;
        while (!served && rig.ms() - backAt < WAIT_MS) {
            machine = machine % SHIELDS + 1;
            if (acknowledgedAt == 0) {
                final Rig.Reply reply = rig.control(machine, "PATCH", "/api/config", configuration, 1);
                calls++;
                if (!reply.toString().equals(last)) {
                    rig.note("operator, call " + calls + " at shield " + machine + ": " + reply);
                    last = reply.toString();
                }
                acknowledgedAt = reply.status() == 200 ? rig.ms() : 0;
            }
            if (acknowledgedAt != 0) {
                rig.control(machine, "PUT", till.path(), till.beat("ready"), 1);
                served = rig.ask(SHIELDS + 1, "GET", "/look/1", null, 3000, rig.nextId("try")).status() == 200;
            }
            Rig.pause(100);
        }
        for (int shield = 1; shield <= SHIELDS; shield++) {
            rig.note("shield " + shield + (rig.alive(shield) ? " runs" : " has ended")
                    + (rig.log(shield, "RV1002").size() > 0 ? ", its addresses are open" : ", its addresses are not open")
                    + (rig.log(shield, "RV1302").size() > 0 ? ", says that it lost its state" : "")
                    + (rig.log(shield, "RV1301").size() > 0 ? ", has founded" : ""));
        }
        rig.note(acknowledgedAt == 0
                ? "no node took the first configuration in " + (rig.ms() - backAt) + " ms and " + calls + " calls"
                : "the first configuration was acknowledged after " + (acknowledgedAt - backAt) + " ms, a request was "
                        + (served ? "served after " + (rig.ms() - backAt) + " ms" : "never served"));
        rig.end(served ? 0 : 1);
    }
}
