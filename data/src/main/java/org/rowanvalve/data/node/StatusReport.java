package org.rowanvalve.data.node;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.Member;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.control.election.Leadership;
import org.rowanvalve.control.json.Json;

/** What one node believes, as JSON, for operators and for the comparison of two nodes. */
public final class StatusReport {
    private final Node node;

    public StatusReport(final Node node) {
        this.node = node;
    }

    public String describe(final String topic) {
        if (topic.startsWith("item ")) {
            final Item item = node.items().get(ItemId.parse(topic.substring(5)));
            return Json.write(Map.of(
                    "version",
                    item.version().number(),
                    "gone",
                    item.deleted(),
                    "condition",
                    node.status().code()));
        }
        return Json.write(toMap());
    }

    private String voterState() {
        if (!node.votingConfiguration().isVoter(node.settings().self().id())) {
            return "standby";
        }
        return node.acceptor().isVoting() ? "voting" : node.acceptor().hasState() ? "taking over" : "without memory";
    }

    /** Shields that may become voters, where voters change. */
    private List<String> standbys() {
        return !node.settings().votersMayChange()
                ? List.of()
                : node.membership().liveMembers(Role.SHIELD).stream()
                        .map(Member::id)
                        .filter(id -> !node.votingConfiguration().isVoter(id))
                        .map(NodeId::text)
                        .sorted()
                        .toList();
    }

    public Map<String, Object> toMap() {
        final Map<String, Object> report = new LinkedHashMap<>();
        report.put("node", node.settings().self().id().text());
        report.put("role", node.settings().self().role().label());
        report.put("cell", node.settings().self().location());
        report.put("boot", node.settings().self().incarnation());
        report.put("version", node.settings().self().version());
        report.put("condition", node.status().code());
        report.put("grade", node.readinessScore());
        report.put(
                "frameAgeMs",
                node.viewSynchronizer().isFresh() ? node.viewSynchronizer().ageMs() : -1);
        report.put("driftMs", node.clockSkew().medianSkewMs());
        report.put(
                "storesSilent",
                node.storeHealth().silent().stream().map(NodeId::text).sorted().toList());
        final Map<String, Object> members = new TreeMap<>();
        node.membership()
                .liveMembers()
                .forEach(member ->
                        members.put(member.id().text(), member.status().code()));
        report.put("members", members);
        report.put(
                "findings",
                node.configurationService().referenceErrors().stream()
                        .map(Object::toString)
                        .toList());
        final Map<String, Object> items = new TreeMap<>();
        node.items().all().stream()
                .map(ChosenItem::item)
                .forEach(item -> items.put(
                        item.id().kind().label() + "/" + item.id().name(),
                        item.version().number()));
        report.put("items", items);
        final Leadership leadership = Leadership.of(node.items().get(ItemId.LEADERSHIP));
        report.put(
                "tenure",
                Map.of("holder", leadership.leader(), "term", leadership.term(), "free", leadership.released()));
        report.put("planEpoch", node.configuration().plan().epoch());
        final Map<String, Object> plan = new TreeMap<>();
        for (int item = 0; item < node.configuration().plan().assignments().size(); item++) {
            plan.put(
                    String.valueOf(item),
                    node.configuration().plan().assignments().get(item).owner() + " "
                            + node.configuration()
                                    .plan()
                                    .assignments()
                                    .get(item)
                                    .token());
        }
        report.put("plan", plan);
        report.put("weights", node.configuration().plan().weights());
        final Map<String, Object> leases = new TreeMap<>();
        if (node.shield().isPresent()) {
            node.leaseHolder()
                    .leases()
                    .forEach((shard, lease) ->
                            leases.put(String.valueOf(shard), lease.state().code() + " " + lease.token()));
        }
        report.put("leases", leases);
        final Map<String, Object> origins = new TreeMap<>();
        node.items().all().stream()
                .map(ChosenItem::item)
                .filter(item -> item.exists() && item.id().kind() == ItemKind.ORIGIN)
                .forEach(item -> {
                    final Origin origin = Json.read(item.body(), Origin.class);
                    final long age = node.loop().now() - node.items().learnedAt(item.id());
                    origins.put(
                            item.id().name(),
                            Map.of(
                                    "service",
                                    origin.service(),
                                    "stamp",
                                    origin.instance(),
                                    "state",
                                    origin.draining() ? "leaving" : age < origin.ttlMs() ? "live" : "stale"));
                });
        report.put("origins", origins);
        if (node.leader().isPresent()) {
            report.put("acting", node.election().isLeader());
        }
        if (node.voter().isPresent()) {
            report.put("elector", voterState());
            report.put("keys", node.keyedRecords().size());
        }
        report.put("epoch", node.votingConfiguration().epoch());
        report.put(
                "voters",
                node.votingConfiguration().voters().stream().map(NodeId::text).toList());
        report.put("standbys", standbys());
        return report;
    }
}
