package org.rowanvalve.data;

import org.rowanvalve.common.Code;
import org.rowanvalve.common.Condition;
import org.rowanvalve.common.Event;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Role;
import org.rowanvalve.control.Electorate;
import org.rowanvalve.control.FrameSync;
import org.rowanvalve.control.Membership;
import org.rowanvalve.control.Tenure;

/** A node's orderly stop: no new callers, tenure given back, shards and vote handed over. */
final class Departure {
    private static final long LINGER = 100;
    /** A leaving edge that still gets requests answers them: it ends once none has come for so long. */
    private static final long CALM = 250;

    private static final long HANDOVER = 2500;
    /** How long a leaving voter waits for its replacement. */
    private static final long VOTE = 3500;

    private final Node node;
    private final Loop loop;
    private final Journal journal;
    private final NodeId self;
    private final Edge edge;
    private final Sender sender;
    private boolean begun;
    private boolean voted;
    private boolean told;
    private long since;
    private long bare;

    Departure(final Node node, final Edge edge, final Sender sender) {
        this.node = node;
        this.loop = node.loop();
        this.journal = node.journal();
        this.self = node.setup().self().id();
        this.edge = edge;
        this.sender = sender;
    }

    boolean begun() {
        return begun;
    }

    void begin(final long most, final Runnable then) {
        begun = true;
        since = loop.now();
        bare = since;
        voted = node.elector() != null && node.electorate().has(self);
        journal.add(Event.of(Code.STOPPING, "node", self.text()));
        final long cutoff = since + most;
        final Runnable rest = edge == null
                ? () -> drain(cutoff, then)
                : () -> loop.after(Math.min(node.setup().noticeMs(), most), () -> {
                    edge.shut();
                    drain(cutoff, then);
                });
        final Tenure tenure = node.tenure();
        if (tenure != null) {
            tenure.step(rest);
        } else {
            rest.run();
        }
    }

    private void drain(final long cutoff, final Runnable then) {
        final boolean idle = (edge == null || edge.busy() == 0 && edge.quiet(CALM))
                && (sender == null || sender.busy() == 0)
                && handed()
                && replaced();
        if (idle || loop.now() >= cutoff) {
            loop.after(LINGER, () -> {
                journal.add(Event.of(Code.STOPPED, "node", self.text()));
                then.run();
            });
        } else {
            loop.after(50, () -> drain(cutoff, then));
        }
    }

    /** A shield's stop is heard once the plan no longer names it; with nobody to hear, it does not wait for long. */
    private boolean handed() {
        if (node.holder() == null) {
            return true;
        }
        if (node.holder().count() > 0) {
            bare = loop.now();
            return false;
        }
        return node.view().plan().parts().stream().noneMatch(p -> p.owner().equals(self.text()))
                || loop.now() - bare > HANDOVER;
    }

    /** A voter stays until the set that no longer names it has taken over; without a standby it need not wait. */
    private boolean replaced() {
        if (!voted || !node.setup().votersMayChange()) {
            return true;
        }
        final Electorate electorate = node.electorate();
        final FrameSync sync = node.sync();
        final boolean out = !electorate.has(self) && sync.settled();
        final boolean alone = electorate.has(self) && !standby(electorate, node.roster());
        final boolean over = out || alone || loop.now() - since >= VOTE;
        if (over && !told) {
            told = true;
            journal.add(Event.of(out ? Code.VOTE_HANDED : Code.VOTE_KEPT, "epoch", electorate.epoch()));
        }
        return over;
    }

    private static boolean standby(final Electorate electorate, final Membership members) {
        return members.live(Role.SHIELD).stream()
                .anyMatch(m -> !electorate.has(m.id()) && m.condition() != Condition.LEAVING);
    }
}
