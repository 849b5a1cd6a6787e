package org.rowanvalve.data.node;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
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
import org.rowanvalve.control.placement.PlacementPlan;
import org.rowanvalve.control.view.ViewSynchronizer;
import org.rowanvalve.control.voting.VotingConfiguration;

/** Reports the state of one node as JSON, for operators and for the comparison of two nodes. */
public final class StatusReport {
    private static final String ITEM_TOPIC_PREFIX = "item ";
    private final Node node;

    public StatusReport(final Node node) {
        this.node = node;
    }

    /** Returns one item as JSON if {@code topic} is {@code item} and an item id; otherwise the whole report. */
    public String describe(final String topic) {
        if (topic.startsWith(ITEM_TOPIC_PREFIX)) {
            final Item item = node.items().get(ItemId.parse(topic.substring(ITEM_TOPIC_PREFIX.length())));
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

    /** Returns the live shields that may become voters; empty if the settings do not allow voters to change. */
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

    /** Returns the whole report in the order in which operators read it. The JSON member names must never change. */
    public Map<String, Object> toMap() {
        final Map<String, Object> report = new LinkedHashMap<>();
        addIdentity(report);
        addView(report);
        addItems(report);
        addPlacement(report);
        report.put("leases", leases());
        report.put("origins", origins());
        addDuties(report);
        addVoting(report);
        return report;
    }

    private void addIdentity(final Map<String, Object> report) {
        final Member self = node.settings().self();
        report.put("node", self.id().text());
        report.put("role", self.role().label());
        report.put("cell", self.location());
        report.put("boot", self.incarnation());
        report.put("version", self.version());
        report.put("condition", node.status().code());
        report.put("grade", node.readinessScore());
    }

    private void addView(final Map<String, Object> report) {
        final ViewSynchronizer view = node.viewSynchronizer();
        report.put("frameAgeMs", view.isFresh() ? view.ageMs() : -1);
        report.put("driftMs", node.clockSkew().medianSkewMs());
        report.put(
                "storesSilent",
                texts(node.storeHealth().silentStores()).sorted().toList());
        final Map<String, Object> members = new TreeMap<>();
        node.membership()
                .liveMembers()
                .forEach(member ->
                        members.put(member.id().text(), member.status().code()));
        report.put("members", members);
    }

    private void addItems(final Map<String, Object> report) {
        report.put(
                "findings",
                node.configurationService().referenceErrors().stream()
                        .map(Object::toString)
                        .toList());
        final Map<String, Object> versions = new TreeMap<>();
        items().forEach(item -> versions.put(
                item.id().kind().label() + "/" + item.id().name(),
                item.version().number()));
        report.put("items", versions);
    }

    private Stream<Item> items() {
        return node.items().all().stream().map(ChosenItem::item);
    }

    private static Stream<String> texts(final Collection<NodeId> nodes) {
        return nodes.stream().map(NodeId::text);
    }

    private void addPlacement(final Map<String, Object> report) {
        final Leadership leadership = Leadership.of(node.items().get(ItemId.LEADERSHIP));
        report.put(
                "tenure",
                Map.of("holder", leadership.leader(), "term", leadership.term(), "free", leadership.released()));
        final PlacementPlan plan = node.configuration().plan();
        report.put("planEpoch", plan.epoch());
        final Map<String, Object> owners = new TreeMap<>();
        for (int shard = 0; shard < plan.assignments().size(); shard++) {
            final PlacementPlan.Assignment assignment = plan.assignments().get(shard);
            owners.put(String.valueOf(shard), assignment.owner() + " " + assignment.token());
        }
        report.put("plan", owners);
        report.put("weights", plan.weights());
    }

    /** Returns the state and token of each lease by shard; empty on nodes that hold no leases. */
    private Map<String, Object> leases() {
        final Map<String, Object> leases = new TreeMap<>();
        node.shield()
                .ifPresent(shield -> shield.leaseHolder()
                        .leases()
                        .forEach((shard, lease) ->
                                leases.put(String.valueOf(shard), lease.state().code() + " " + lease.token())));
        return leases;
    }

    private Map<String, Object> origins() {
        final Map<String, Object> origins = new TreeMap<>();
        items().filter(item -> item.exists() && item.id().kind() == ItemKind.ORIGIN)
                .forEach(item -> origins.put(item.id().name(), origin(item)));
        return origins;
    }

    private Map<String, Object> origin(final Item item) {
        final Origin origin = Json.read(item.body(), Origin.class);
        final long ageMs = node.loop().now() - node.items().learnedAt(item.id());
        final String state = origin.draining() ? "leaving" : ageMs < origin.ttlMs() ? "live" : "stale";
        return Map.of("service", origin.service(), "stamp", origin.instance(), "state", state);
    }

    private void addDuties(final Map<String, Object> report) {
        node.leader().ifPresent(leader -> report.put("acting", leader.election().isLeader()));
        if (node.voter().isPresent()) {
            report.put("elector", voterState());
            report.put("keys", node.keyedRecords().size());
        }
    }

    private void addVoting(final Map<String, Object> report) {
        final VotingConfiguration voting = node.votingConfiguration();
        report.put("epoch", voting.epoch());
        report.put("voters", texts(voting.voters()).toList());
        report.put("standbys", standbys());
    }
}
