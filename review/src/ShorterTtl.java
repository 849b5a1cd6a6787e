import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A change of the configuration shortens a route's cache_ttl_s; copies that stand keep the earlier one. */
final class ShorterTtl {
    private static final int PAGES = 10;
    private static final double LONG_S = 40;
    private static final double SHORT_S = 1;
    private static final long STALE_SLACK_MS = 2000;
    private static final long CONFIG_APPLY_MS = 2000;

    private ShorterTtl() {}

    public static void main(final String[] args) throws Exception {
        Kit.main(Path.of(args[0]), 4, 2, ShorterTtl::run);
    }

    private static Kit.Answer get(final Kit kit, final int edge, final int page) {
        return kit.client(edge, "shop.example", "GET", "/page/" + page, 1200, Map.of(), null);
    }

    private static boolean run(final Kit kit) throws Exception {
        final Shelf shelf = new Shelf(45);
        final List<Origin> origins = List.of(
                new Origin(kit, "i-shelf1", "shelf", kit.at(101), 32, shelf),
                new Origin(kit, "i-shelf2", "shelf", kit.at(102), 32, shelf));
        kit.startAll(Sites.shelf("shop.example", LONG_S, "00000007"), origins);
        for (int page = 0; page < PAGES; page++) {
            for (int edge = 1; edge <= 2; edge++) {
                if (get(kit, edge, page).status() != 200) {
                    throw new Kit.CannotRun("a page is not served");
                }
            }
        }
        final double ttlS = kit.trouble ? SHORT_S : LONG_S;
        if (kit.trouble
                && kit.operator("PATCH", 2, "/api/config", Sites.shelfRoute("shop.example", SHORT_S, "00000009")).status()
                        != 200) {
            throw new Kit.CannotRun("the change is not acknowledged");
        }
        Thread.sleep(CONFIG_APPLY_MS + 2000);
        long replaced = 0;
        for (int page = 0; page < PAGES; page++) {
            replaced = shelf.change(kit, "/page/" + page);
        }
        final long allowed = (long) (ttlS * 1000) + STALE_SLACK_MS;
        kit.sleepUntil(replaced + (long) (SHORT_S * 1000) + STALE_SLACK_MS + 3000);
        int stale = 0;
        for (int page = 0; page < PAGES; page++) {
            for (int edge = 1; edge <= 2; edge++) {
                final long sentAt = kit.ms();
                final Kit.Answer answer = get(kit, edge, page);
                if (answer.status() == 200 && Shelf.versionOf(answer) == 1 && sentAt - replaced > allowed) {
                    stale++;
                    kit.say("STALE: version 1 of /page/" + page + ", replaced " + (sentAt - replaced)
                            + " ms ago; cache_ttl_s + stale_slack_s is " + allowed + " ms");
                }
            }
        }
        kit.say(stale + " stale answers of " + 2 * PAGES);
        return stale > 0;
    }
}
