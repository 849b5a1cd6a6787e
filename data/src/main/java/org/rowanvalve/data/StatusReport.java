package org.rowanvalve.data;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.Member;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Role;
import org.rowanvalve.control.Json;
import org.rowanvalve.control.Leadership;
import org.rowanvalve.control.Origin;

/** What one node believes, as JSON, for operators and for the comparison of two nodes. */
public final class StatusReport {
    private final Node node;

    public StatusReport(final Node node) {
        this.node = node;
    }

    public String say(final String what) {
        if (what.startsWith("item ")) {
            final Item i = node.held().get(ItemId.parse(what.substring(5)));
            return Json.text(Map.of(
                    "version",
                    i.ver().n(),
                    "gone",
                    i.gone(),
                    "condition",
                    node.condition().code()));
        }
        return Json.text(all());
    }

    private String vote() {
        if (!node.electorate().has(node.setup().self().id())) {
            return "standby";
        }
        return node.elector().votes() ? "voting" : node.elector().full() ? "taking over" : "without memory";
    }

    /** Shields that may become voters, where voters change. */
    private List<String> standbys() {
        return !node.setup().votersMayChange()
                ? List.of()
                : node.roster().live(Role.SHIELD).stream()
                        .map(Member::id)
                        .filter(id -> !node.electorate().has(id))
                        .map(NodeId::text)
                        .sorted()
                        .toList();
    }

    public Map<String, Object> all() {
        final Map<String, Object> map = new LinkedHashMap<>();
        map.put("node", node.setup().self().id().text());
        map.put("role", node.setup().self().role().word());
        map.put("cell", node.setup().self().cell());
        map.put("boot", node.setup().self().boot());
        map.put("version", node.setup().self().version());
        map.put("condition", node.condition().code());
        map.put("grade", node.grade());
        map.put("frameAgeMs", node.sync().fresh() ? node.sync().age() : -1);
        map.put("driftMs", node.drift().worst());
        map.put(
                "storesSilent",
                node.stores().silent().stream().map(NodeId::text).sorted().toList());
        final Map<String, Object> members = new TreeMap<>();
        node.roster()
                .live()
                .forEach(m -> members.put(m.id().text(), m.condition().code()));
        map.put("members", members);
        map.put("findings", node.clerk().unfit().stream().map(Object::toString).toList());
        final Map<String, Object> items = new TreeMap<>();
        node.held().all().stream()
                .map(Msg.Chosen::item)
                .forEach(i -> items.put(
                        i.id().kind().word() + "/" + i.id().name(), i.ver().n()));
        map.put("items", items);
        final Leadership t = Leadership.of(node.held().get(ItemId.TENURE));
        map.put("tenure", Map.of("holder", t.holder(), "term", t.term(), "free", t.free()));
        map.put("planEpoch", node.view().plan().epoch());
        final Map<String, Object> plan = new TreeMap<>();
        for (int i = 0; i < node.view().plan().parts().size(); i++) {
            plan.put(
                    String.valueOf(i),
                    node.view().plan().parts().get(i).owner() + " "
                            + node.view().plan().parts().get(i).token());
        }
        map.put("plan", plan);
        map.put("weights", node.view().plan().weights());
        final Map<String, Object> leases = new TreeMap<>();
        if (node.holder() != null) {
            node.holder()
                    .leases()
                    .forEach((s, l) -> leases.put(String.valueOf(s), l.state().name() + " " + l.token()));
        }
        map.put("leases", leases);
        final Map<String, Object> origins = new TreeMap<>();
        node.held().all().stream()
                .map(Msg.Chosen::item)
                .filter(i -> i.live() && i.id().kind() == Kind.ORIGIN)
                .forEach(i -> {
                    final Origin o = Json.read(i.body(), Origin.class);
                    final long age = node.loop().now() - node.held().since(i.id());
                    origins.put(
                            i.id().name(),
                            Map.of(
                                    "service",
                                    o.service(),
                                    "stamp",
                                    o.stamp(),
                                    "state",
                                    o.leaving() ? "leaving" : age < o.ttlMs() ? "live" : "stale"));
                });
        map.put("origins", origins);
        if (node.tenure() != null) {
            map.put("acting", node.tenure().acting());
        }
        if (node.elector() != null) {
            map.put("elector", vote());
            map.put("keys", node.keeper().size());
        }
        map.put("epoch", node.electorate().epoch());
        map.put("voters", node.electorate().voters().stream().map(NodeId::text).toList());
        map.put("standbys", standbys());
        return map;
    }
}
