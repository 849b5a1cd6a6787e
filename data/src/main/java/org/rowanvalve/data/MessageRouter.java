package org.rowanvalve.data;

import java.util.function.Consumer;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.control.Authority;
import org.rowanvalve.control.ViewServer;

/** Brings each message to the part of the node that it is for. */
final class MessageRouter {
    private final Node node;
    private final ViewServer desk;
    private final Authority authority;
    private final Sender sender;
    private final Shield shield;
    private final Consumer<Msg.Chosen> learn;

    MessageRouter(
            final Node node,
            final ViewServer desk,
            final Authority authority,
            final Sender sender,
            final Shield shield,
            final Consumer<Msg.Chosen> learn) {
        this.node = node;
        this.desk = desk;
        this.authority = authority;
        this.sender = sender;
        this.shield = shield;
        this.learn = learn;
    }

    void take(final NodeId from, final Msg msg, final Consumer<Msg> back) {
        if (node.elector() != null && votes(from, msg, back)) {
            return;
        }
        other(from, msg, back);
    }

    private boolean votes(final NodeId from, final Msg msg, final Consumer<Msg> back) {
        if (msg instanceof Msg.Prepare m) {
            node.elector().prepare(m, back);
        } else if (msg instanceof Msg.Accept m) {
            node.elector().accept(m, back);
        } else if (msg instanceof Msg.Reread m) {
            node.elector().reread(from, m, back);
        } else if (msg instanceof Msg.Query m) {
            desk.query(m, back);
        } else if (msg instanceof Msg.Vers m) {
            desk.vers(m, back);
        } else if (msg instanceof Msg.Handover m) {
            node.elector().handover(from, m, back);
        } else if (msg instanceof Msg.HandoverRecords m) {
            node.elector().handoverRecords(from, m, back);
        } else if (msg instanceof Msg.CatchUp m) {
            node.keeper()
                    .warm(warm -> node.elector()
                            .prepareToJoin(
                                    m.epoch(),
                                    warm && node.sync().fresh() && node.sync().settled(),
                                    back));
        } else {
            return keeps(msg, back);
        }
        return true;
    }

    /** What concerns the records of keyed requests. An outcome is a fact in any epoch. */
    private boolean keeps(final Msg msg, final Consumer<Msg> back) {
        if (msg instanceof Msg.KeepRead m) {
            present(m.epoch(), back, () -> node.keeper().read(m, back));
        } else if (msg instanceof Msg.KeepWrite m) {
            present(m.epoch(), back, () -> node.keeper().write(m, back));
        } else if (msg instanceof Msg.KeepSums m) {
            present(m.epoch(), back, () -> node.keeper().sums(m, back));
        } else if (msg instanceof Msg.KeepCells m) {
            present(m.epoch(), back, () -> node.keeper().cells(m, back));
        } else if (msg instanceof Msg.KeepOutcome m) {
            node.keeper().outcome(m, back);
        } else {
            return false;
        }
        return true;
    }

    /** Records are kept in the present epoch only. */
    private void present(final long epoch, final Consumer<Msg> back, final Runnable answer) {
        node.elector().refusal(epoch).ifPresentOrElse(back, answer);
    }

    private void other(final NodeId from, final Msg msg, final Consumer<Msg> back) {
        if (msg instanceof Msg.Learn m) {
            m.list().forEach(learn);
            back.accept(new Msg.Ok());
        } else if (msg instanceof Msg.Order m) {
            node.orders().take(m, back);
        } else if (msg instanceof Msg.Beat m) {
            node.roster().beat(m, back);
        } else if (msg instanceof Msg.Hello m && authority != null) {
            authority.hello(from, m, back);
        } else if (msg instanceof Msg.Renew m && authority != null) {
            authority.renew(from, m, back);
        } else if (msg instanceof Msg.Place m && node.holder() != null) {
            node.holder().place(from, m, back);
        } else if (msg instanceof Msg.Revoke m && node.holder() != null) {
            node.holder().revoke(from, m, back);
        } else if (msg instanceof Msg.FenceAck m && node.holder() != null) {
            node.holder().ack(m, back);
        } else if (msg instanceof Msg.Fill m && shield != null) {
            shield.take(from, m, back);
        } else if (msg instanceof Msg.MoreAttempts m && node.edge() != null) {
            back.accept(new Msg.AttemptsGranted(node.edge().moreAttempts(from, m.serial())));
        } else if (msg instanceof Msg.Busy m && sender != null) {
            sender.told(from, m);
            back.accept(new Msg.Ok());
        } else if (msg instanceof Msg.Seats) {
            back.accept(new Msg.Seated(
                    node.setup().seats(), node.electorate().chosen().orElse(null)));
        } else if (msg instanceof Msg.Report m) {
            back.accept(new Msg.Reported(new StatusReport(node).say(m.what())));
        } else {
            back.accept(new Msg.Nay("not done here: " + msg.getClass().getSimpleName()));
        }
    }
}
