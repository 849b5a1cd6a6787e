package org.rowanvalve.data;

import java.util.Map;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.Event;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.control.Origin;

/** One request sent to one origin, from the last check of its right until the answer or the end of the connection. */
final class OriginAttempt {
    private final Sender sender;
    private final OriginDispatch dispatch;
    private final OriginRequest order;
    private final ItemId id;
    private final Origin to;
    private final long at;
    private Port.Rope exchange;
    private Port.Send out;

    OriginAttempt(final Sender sender, final OriginDispatch dispatch, final ItemId id, final Origin to) {
        this.sender = sender;
        this.dispatch = dispatch;
        this.order = dispatch.order();
        this.id = id;
        this.to = to;
        this.at = sender.loop().now();
    }

    void send(final boolean extra) {
        sender.load().begin(id, at);
        sender.exchangeLoad().changed(to);
        sender.live(order.shard()).add(this);
        out = named(order.what());
        tell(extra);
        exchange = sender.port().send(to, out, this::permitted, this::back);
        final double mean = sender.load().mean(Map.of(id, to), at);
        sender.loop().after((long) Math.max(order.once() ? 1000 : 200, (order.once() ? 6 : 4) * mean), this::slow);
    }

    /** The same request with the time that is left, and a name of this node's own where the client gave it none. */
    private Port.Send named(final Port.Send what) {
        return new Port.Send(
                what.service(),
                what.method(),
                what.path(),
                what.id().isEmpty() ? sender.ownName() : what.id(),
                what.key(),
                what.body(),
                what.type(),
                order.cutoff() - at,
                what.heads());
    }

    private void tell(final boolean extra) {
        sender.journal()
                .add(Event.of(
                        Code.ORIGIN_SEND,
                        "shard",
                        order.shard(),
                        "token",
                        sender.token(order.shard()),
                        "service",
                        out.service(),
                        "origin",
                        id.name(),
                        "request",
                        out.id(),
                        "extra",
                        extra,
                        "key",
                        out.key() == null ? "" : out.key()));
    }

    /** Asked right before the bytes are written. */
    private boolean permitted() {
        final long now = sender.loop().now();
        return sender.right(order.shard(), order.service())
                && to.site(sender.view().live(order.service(), now).get(id))
                && now < order.cutoff();
    }

    private void slow() {
        if (!dispatch.done() && sender.live(order.shard()).contains(this)) {
            sender.load().fail(id, sender.loop().now());
            dispatch.slow();
        }
    }

    private void back(final Port.Got raw) {
        if (!close(raw.end() == Port.End.WHOLE || raw.end() == Port.End.TURNED, raw.load())) {
            return;
        }
        final Port.Got got = checked(raw);
        if (got.end() == Port.End.BAD || got.end() == Port.End.STRANGE) {
            final Code code = got.end() == Port.End.BAD ? Code.ORIGIN_BAD : Code.ORIGIN_STRANGE;
            sender.journal().add(Event.of(code, "origin", id.name(), "request", out.id(), "why", got.why()));
        }
        if (!dispatch.done()) {
            dispatch.ended(got, id, to, at);
        }
        sender.drain(order.service());
    }

    private Port.Got checked(final Port.Got got) {
        final String fault = got.end() == Port.End.WHOLE ? sender.port().fault(to, out, got) : "";
        return fault.isEmpty() ? got : Port.Got.none(Port.End.BAD, fault);
    }

    private boolean close(final boolean good, final Port.Load load) {
        final boolean was = sender.live(order.shard()).remove(this);
        if (was) {
            dispatch.closed();
            sender.load().end(id, at, sender.loop().now(), good, load);
            sender.exchangeLoad().changed(to);
        }
        return was;
    }

    /** The right to send has ended: the connection is closed, and nobody can know whether the request ran. */
    void cut() {
        if (close(false, Port.Load.NONE)) {
            exchange.cut();
            dispatch.finish(
                    Port.Got.none(Port.End.LOST, "right to send ended"),
                    true,
                    sender.loop().now(),
                    1000);
        }
    }
}
