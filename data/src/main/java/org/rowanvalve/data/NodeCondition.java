package org.rowanvalve.data;

import java.util.function.BooleanSupplier;
import org.rowanvalve.common.Condition;
import org.rowanvalve.common.Role;

/** How ready a node is, by what it holds and hears. */
final class NodeCondition {
    private final Node node;
    private final Sender sender;
    private final BooleanSupplier leaving;

    NodeCondition(final Node node, final Sender sender, final BooleanSupplier leaving) {
        this.node = node;
        this.sender = sender;
        this.leaving = leaving;
    }

    Condition now() {
        if (leaving.getAsBoolean()) {
            return Condition.LEAVING;
        }
        if (node.drift().beyond()) {
            return Condition.UNREADY;
        }
        if (!node.sync().fresh()) {
            return Condition.PARTIAL;
        }
        final boolean whole = node.elector() == null
                || node.elector().votes()
                || !node.electorate().has(node.setup().self().id());
        final boolean rights = node.holder() == null || node.holder().count() > 0;
        final boolean ways =
                node.edge() == null || !node.roster().live(Role.SHIELD).isEmpty();
        return whole && rights && ways ? Condition.READY : Condition.PARTIAL;
    }

    /** From 0 to 100, so that a platform can pick by it. */
    int grade() {
        return switch (now()) {
            case READY -> 100 - Math.min(50, load());
            case PARTIAL -> node.view().rows().isEmpty() ? 0 : 20;
            default -> 0;
        };
    }

    private int load() {
        return (node.edge() == null ? 0 : node.edge().busy() / 40) + (node.holder() == null ? 0 : sender.busy() / 10);
    }
}
