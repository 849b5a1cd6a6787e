package org.rowanvalve.testkit.scale;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.control.config.Purge;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.testkit.fleet.FleetMachine;

/** One size: idle, under purges and configurations, through the restart of a zone, and after a partition. */
final class ScaleStep {
    private static final long PAUSE = 140;
    private static final int MISSED = 200;
    private final LightweightNodes herd;
    private final long seconds;
    private final Map<String, Double> row = new LinkedHashMap<>();
    private final Map<String, Double> kinds = new TreeMap<>();
    private int serial;
    private volatile int refused;

    ScaleStep(final LightweightNodes herd, final long seconds) {
        this.herd = herd;
        this.seconds = seconds;
    }

    private record Snapshot(
            long at,
            Map<NodeId, Map<String, MessageTally.Count>> counts,
            Map<NodeId, Double> cpu,
            Map<NodeId, String> lives,
            Map<String, Double> process,
            double machine) {}

    /** The columns of one line, in order. */
    Map<String, Double> run() throws IOException, InterruptedException {
        row.put("nodes", (double) herd.size());
        row.put("settled_ms", (double) LightweightNodes.until(herd.up(), 60_000, herd::settled));
        settle();
        rest();
        row.put("heap_mb_node", ResourceUsage.heapMb() / herd.up().size());
        final Snapshot one = shot();
        purges(Math.max(1, (int) (seconds * 1000 / PAUSE)), true);
        final Snapshot two = shot();
        window("purged_", one, two);
        kinds("purged ", one, two);
        times("purge_");
        configs();
        zone();
        cut();
        row.put("refused", (double) refused);
        return row;
    }

    /** Bytes a second of one node, by way and kind of message. */
    Map<String, Double> kinds() {
        return kinds;
    }

    /** Until the plan stands still and every list has been told. */
    private void settle() throws InterruptedException {
        long epoch = -1;
        for (int i = 0; i < 6; i++) {
            TimeUnit.SECONDS.sleep(3);
            final long now = door().see(node -> node.configuration().plan().epoch(), -1L);
            if (now > 0 && now == epoch) {
                return;
            }
            epoch = now;
        }
    }

    private void rest() throws IOException, InterruptedException {
        final Snapshot one = shot();
        TimeUnit.SECONDS.sleep(seconds);
        final Snapshot two = shot();
        window("", one, two);
        kinds("rest ", one, two);
    }

    private void kinds(final String name, final Snapshot one, final Snapshot two) {
        final double s = (two.at() - one.at()) / 1e9;
        final List<NodeId> doors = doors().stream().map(LightweightNode::id).toList();
        final List<NodeId> edges = ids(Role.EDGE, two).stream()
                .filter(node -> !doors.contains(node))
                .toList();
        edges.forEach(node -> MessageTally.less(
                        two.counts().get(node), one.counts().getOrDefault(node, Map.of()))
                .forEach((k, c) -> kinds.merge(name + k, c.bytes() / s / edges.size(), Double::sum)));
    }

    private List<NodeId> ids(final Role role, final Snapshot shot) {
        return herd.up(node -> node.role() == role && shot.counts().containsKey(node.id())).stream()
                .map(LightweightNode::id)
                .toList();
    }

    private Snapshot shot() throws IOException {
        final Map<NodeId, Map<String, MessageTally.Count>> counts = new HashMap<>();
        final Map<NodeId, Double> cpu = new HashMap<>();
        final Map<NodeId, String> lives = new HashMap<>();
        final Map<String, Double> process = new LinkedHashMap<>();
        herd.up().forEach(node -> {
            counts.put(node.id(), node.tally().counts());
            cpu.put(node.id(), ResourceUsage.node(node));
            lives.put(node.id(), node.node().settings().self().incarnation());
        });
        for (final FleetMachine machine : herd.real().values()) {
            process.put(machine.name(), ResourceUsage.process(machine));
        }
        return new Snapshot(System.nanoTime(), counts, cpu, lives, process, ResourceUsage.machine());
    }

    private void window(final String name, final Snapshot one, final Snapshot two) throws IOException {
        final double s = (two.at() - one.at()) / 1e9;
        final List<NodeId> doors = doors().stream().map(LightweightNode::id).toList();
        for (final String role : List.of("edge", "shield", "door")) {
            final List<NodeId> ids = ids(role.equals("shield") ? Role.SHIELD : Role.EDGE, two).stream()
                    .filter(node -> doors.contains(node) == role.equals("door")
                            && one.lives().get(node).equals(two.lives().get(node)))
                    .toList();
            final MessageTally.Count sum = ids.stream()
                    .map(node -> MessageTally.sum(MessageTally.less(
                            two.counts().get(node), one.counts().getOrDefault(node, Map.of()))))
                    .reduce(new MessageTally.Count(0, 0), MessageTally.Count::plus);
            final double cpu = ids.stream()
                    .mapToDouble(node -> two.cpu().get(node) - one.cpu().getOrDefault(node, 0.0))
                    .sum();
            row.put(name + role + "_messages_s", sum.frames() / s / ids.size());
            row.put(name + role + "_bytes_s", sum.bytes() / s / ids.size());
            row.put(name + role + "_cpu_percent", cpu / s / 10 / ids.size());
        }
        for (final FleetMachine machine : herd.real().values()) {
            row.put(
                    name + machine.name() + "_cpu_percent",
                    (two.process().get(machine.name()) - one.process().get(machine.name())) / s / 10);
            row.put(name + machine.name() + "_resident_mb", ResourceUsage.residentMb(machine));
        }
        row.put(name + "machine_busy_cores", (two.machine() - one.machine()) / s / 1000);
    }

    /** Operators come to three edges. */
    private List<LightweightNode> doors() {
        return herd.up(node -> node.role() == Role.EDGE && !node.cut()).stream()
                .limit(3)
                .toList();
    }

    private LightweightNode door() {
        return doors().get(serial % doors().size());
    }

    private List<NodeId> reach() {
        return herd.up(node -> !node.cut()).stream().map(LightweightNode::id).toList();
    }

    private void purge(final boolean timed) {
        final Purge purge = new Purge(null, "/page/" + serial++, null, "shop.example", null);
        final String key = Json.write(purge);
        final LightweightNode node = door();
        if (timed) {
            herd.waves().begin(key, reach());
        }
        node.loop().execute(() -> node.node().updateService().purge(purge, said -> said(key, said.status())));
    }

    private void said(final String key, final int status) {
        if (status != 200) {
            refused++;
            herd.waves().refused(key);
        }
    }

    private void purges(final int n, final boolean timed) throws InterruptedException {
        for (int i = 0; i < n; i++) {
            purge(timed);
            TimeUnit.MILLISECONDS.sleep(PAUSE);
        }
    }

    private void calm(final long most) throws InterruptedException {
        final long end = System.nanoTime() + most * 1_000_000;
        while (herd.waves().open() > 0 && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private void times(final String name) throws InterruptedException {
        calm(10_000);
        row.merge("unfinished", (double) herd.waves().open(), Double::sum);
        row.put(name + "waves", (double) herd.waves().done());
        row.put(name + "each_p50_ms", herd.waves().each(50));
        row.put(name + "everywhere_p50_ms", herd.waves().all(50));
        row.put(name + "everywhere_max_ms", herd.waves().all(100));
        herd.waves().clear();
    }

    private void configs() throws InterruptedException {
        for (int i = 0; i < 5; i++) {
            final ItemId id = new ItemId(ItemKind.SERVICE, "store-" + serial++);
            final LightweightNode node = door();
            herd.waves().begin(id.text(), reach());
            node.loop()
                    .execute(() -> node.node()
                            .configurationService()
                            .putItem(
                                    id,
                                    "{\"kind\":\"content\",\"rate\":50}".getBytes(StandardCharsets.UTF_8),
                                    0,
                                    null,
                                    said -> said(id.text(), said.status())));
            TimeUnit.MILLISECONDS.sleep(2 * PAUSE);
        }
        times("config_");
    }

    /** All of one zone that are not doors or electors end at once and come back, while purges go on. */
    private void zone() throws IOException, InterruptedException {
        final String cell = LightweightNodes.cell(5);
        final List<LightweightNode> zone =
                herd.up(node -> node.node().settings().self().location().equals(cell)
                        && !herd.electors().contains(node.id()));
        final Snapshot one = shot();
        purges(3, true);
        herd.end(zone);
        purges(7, true);
        herd.begin(zone);
        purges(1, true);
        row.put("zone_nodes", (double) zone.size());
        final List<NodeId> ids = zone.stream().map(LightweightNode::id).toList();
        row.put(
                "zone_back_ms",
                PAUSE
                        + (double) LightweightNodes.until(
                                herd.up(node -> ids.contains(node.id())), 20_000, herd::settled));
        purges(3, true);
        window("zone_", one, shot());
        times("zone_purge_");
    }

    /** A region hears nothing while purges are stated as fast as they are taken; then it has to learn them all. */
    private void cut() throws IOException, InterruptedException {
        final List<LightweightNode> region =
                herd.up(h -> h.node().settings().self().location().startsWith("r3/")
                        && !herd.electors().contains(h.id()));
        region.forEach(h -> h.cut(true));
        final int from = serial;
        for (int i = 0; i < MISSED; i++) {
            purge(false);
            TimeUnit.MILLISECONDS.sleep(15);
        }
        final LightweightNode near = door();
        LightweightNodes.until(
                List.of(near), 5000, h -> h.see(node -> node.items().all().size(), 0) >= serial);
        final int want = near.see(node -> node.items().all().size(), 0);
        final Snapshot one = shot();
        region.forEach(h -> h.cut(false));
        row.put("cut_nodes", (double) region.size());
        row.put("cut_missed", (double) serial - from);
        row.put("cut_healed_ms", (double) LightweightNodes.until(
                region,
                20_000,
                h -> h.see(
                        node -> node.viewSynchronizer().isFresh()
                                && node.items().all().size() >= want,
                        false)));
        final Snapshot two = shot();
        final double bytes = region.stream()
                .mapToDouble(h ->
                        MessageTally.less(two.counts().get(h.id()), one.counts().get(h.id())).entrySet().stream()
                                .filter(entry -> entry.getKey().equals("in MissingItemsResponse"))
                                .mapToDouble(entry -> entry.getValue().bytes())
                                .sum())
                .sum();
        row.put("cut_give_bytes_item", bytes / Math.max(1, region.size()) / (serial - from));
    }

    static String line(final Map<String, Double> row) {
        return String.join(
                ",",
                row.values().stream()
                        .map(v -> String.format(Locale.ROOT, "%.2f", v))
                        .toList());
    }
}
