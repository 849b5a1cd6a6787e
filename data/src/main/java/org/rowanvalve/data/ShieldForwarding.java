package org.rowanvalve.data;

import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.Event;
import org.rowanvalve.common.Hash;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Reply;
import org.rowanvalve.control.ConfiguredRoute;
import org.rowanvalve.control.Match;
import org.rowanvalve.control.Plan;

/**
 * A request's way from an edge to shields: to the holder of its shard where a right is needed, else through any shield.
 * The request's attempts are counted here, for all nodes together.
 */
final class ShieldForwarding {
    /** A shield of which nothing was heard for so long is passed by, in ms. */
    private static final long SILENT = 650;

    private static final long LOOK = 100;
    /** The part of its time for which a keyed request is kept while nobody may send it. */
    private static final double PATIENCE = 0.4;
    /** A read waits for a holder that may not fill for this part of its aim at most, or for this long without an aim. */
    private static final double HOLDER_PATIENCE = 0.25;

    private static final long HOLDER_PATIENCE_MS = 400;
    private static final int MOST_ASKS = 3;
    private final Edge edge;
    private final EdgeRequest request;
    private final ClientRequest ask;
    private final ConfiguredRoute row;
    private final long cutoff;
    private final long margin;
    private final RequestAttempts attempts;
    private final Set<NodeId> asked = new HashSet<>();
    /** How often a shield was asked that may have taken it up. */
    private int asks;
    /** Shields that have been asked to pass it through and have not answered. */
    private int open;
    /** It goes on without the right to fill. */
    private boolean passing;
    /** A shield may have sent it to an origin and has not told its end. */
    private boolean maybe;

    ShieldForwarding(final Edge edge, final EdgeRequest request) {
        this.edge = edge;
        this.request = request;
        this.ask = request.ask();
        this.row = request.row();
        this.cutoff = request.cutoff();
        this.margin = request.margin();
        this.attempts = new RequestAttempts(row.match().tries());
    }

    /** One shield that was asked, and the attempts that are reserved for it. */
    final class Exchange {
        private final NodeId to;
        private int given;

        Exchange(final NodeId to) {
            this.to = to;
            this.given = attempts.reserve();
        }

        /** The shield wants to try one more origin. */
        int more(final NodeId from) {
            if (request.over() || !from.equals(to)) {
                return 0;
            }
            final int more = attempts.reserve();
            given += more;
            return more;
        }

        /** Takes back what surely was not used. */
        private void settle(final Reply r) {
            if (r.trouble() == Reply.Trouble.NOT_SENT) {
                attempts.giveBack(given);
            } else {
                r.as(Msg.Filled.class).ifPresent(f -> attempts.giveBack(Math.min(given, f.unused())));
            }
        }
    }

    private long now() {
        return edge.loop().now();
    }

    private boolean is(final String mode) {
        return request.is(mode);
    }

    private boolean anyShield() {
        return row.match().any();
    }

    private void finish(final Answer said) {
        request.finish(said, maybe);
    }

    void begin() {
        if (anyShield() && !is(Match.ONCE) && !(is(Match.CACHED) && ask.method().equals("GET"))) {
            pass(Answer.reject(503, "no shield is heard of", 300));
        } else {
            askHolder(Answer.reject(503, "no attempt is left", 1000));
        }
    }

    /** {@code last}: what to answer where nobody may be asked any more. */
    private void askHolder(final Answer last) {
        if (!attempts.any() && !is(Match.ONCE)) {
            finish(last);
            return;
        }
        final int shard = ShardRouting.shard(
                row,
                ask.path(),
                ask.key(),
                edge.shards(),
                edge.way().places(),
                edge.way().place());
        if (shard >= edge.view().plan().parts().size()) {
            noHolder(Answer.reject(503, "no plan is known yet", 500));
            return;
        }
        final Plan.Part part = edge.view().plan().parts().get(shard);
        edge.raise(shard, part.token());
        if (!edge.way().heard(part.node()) || anyShield() && edge.way().silent(part.node()) > SILENT) {
            noHolder(Answer.reject(503, "the holder is not heard of", 1000));
            return;
        }
        asks++;
        request.renew();
        final long sent = now();
        exchange(part.node(), shard, false, Math.max(100, cutoff - sent), r -> holderAnswered(shard, sent, r));
        if (anyShield() && is(Match.CACHED)) {
            final int mine = asks;
            watch(part.node(), sent, () -> passing || asks != mine);
        }
    }

    private void exchange(
            final NodeId to, final int shard, final boolean pass, final long wait, final Consumer<Reply> then) {
        final boolean extra = attempts.used();
        final Exchange exchange = new Exchange(to);
        final long serial = edge.open(exchange);
        edge.net().ask(to, fill(serial, shard, pass, extra, exchange.given), wait, r -> {
            edge.closed(serial);
            exchange.settle(r);
            then.accept(r);
        });
    }

    private Msg.Fill fill(
            final long serial, final int shard, final boolean pass, final boolean extra, final int given) {
        return new Msg.Fill(
                serial,
                row.name(),
                ask.method(),
                ask.host(),
                ask.path(),
                shard,
                shard < 0 ? null : edge.high(shard),
                pass ? null : request.mark(),
                ask.key(),
                ask.body(),
                ask.type(),
                Math.max(margin > 100 ? 100 : 1, cutoff - now() - margin),
                ask.id(),
                pass,
                extra,
                ask.heads(),
                given);
    }

    /** Where a shield falls silent, another passes a read through while there is time; the first answer counts. */
    private void watch(final NodeId at, final long sent, final BooleanSupplier heard) {
        edge.loop().after(LOOK, () -> {
            if (request.over() || heard.getAsBoolean() || is(Match.SINGLE) || now() + LOOK >= cutoff) {
                return;
            }
            if (edge.way().silent(at) > SILENT && now() - sent > 2 * LOOK && attempts.any()) {
                pass(Answer.reject(503, "the shield is silent", 100));
            } else {
                watch(at, sent, heard);
            }
        });
    }

    /** By any shield: for what needs no right to fill, or when nobody has the right. */
    void pass(final Answer none) {
        passing = true;
        final NodeId to = edge.way().near().stream()
                .filter(n -> !asked.contains(n) && edge.way().silent(n) <= SILENT)
                .findFirst()
                .orElse(null);
        final boolean late = now() + margin >= cutoff;
        if (to == null && !attempts.used() && open == 0 && edge.way().direct() != null && !late) {
            sendDirectly(none);
            return;
        }
        if (to == null || late || !attempts.any()) {
            if (open == 0 || to == null && !is(Match.SINGLE)) {
                finish(none);
            }
            return;
        }
        asked.add(to);
        asks++;
        open++;
        final long sent = now();
        final boolean[] heard = {false};
        exchange(to, OriginRequest.NONE, true, Math.max(50, cutoff - sent), r -> {
            open--;
            heard[0] = true;
            passed(r);
        });
        watch(to, sent, () -> heard[0]);
    }

    /** No shield is heard of at all: it goes to an origin from here, within the part of the ceiling that is for this. */
    private void sendDirectly(final Answer none) {
        final String to = row.match().pick(Hash.mix(ask.id().isEmpty() ? ask.path() + edge.next() : ask.id()));
        final OriginRequest order = new OriginRequest(
                OriginRequest.NONE,
                new Port.Send(
                        to, ask.method(), ask.path(), ask.id(), ask.key(), ask.body(), ask.type(), 0, ask.heads()),
                is(Match.SINGLE),
                cutoff - margin,
                row.match().rank(),
                attempts.here(),
                false);
        edge.way().direct().send(order, sent -> {
            if (sent.got().end() == Port.End.WHOLE) {
                done(now(), whole(sent.got()));
            } else {
                maybe |= sent.ran();
                finish(sent.ran() ? Answer.unsure(sent.got().why()) : none);
            }
        });
    }

    private static Msg.Filled whole(final Port.Got got) {
        return new Msg.Filled(
                Answer.DONE, "", got.status(), null, EndToEndHeaders.of(got.heads()), got.body(), 0, null, 0);
    }

    /** The answer of a shield that was asked to pass it through. */
    private void passed(final Reply r) {
        if (request.over()) {
            return;
        }
        final Msg.Filled f = r.as(Msg.Filled.class).orElse(null);
        note(r, f);
        if (f == null) {
            if (r.trouble() == Reply.Trouble.NOT_SENT) {
                pass(Answer.reject(503, "no shield can be reached", 300));
            } else if (!is(Match.SINGLE)) {
                pass(Answer.unsure("no shield answered"));
            } else {
                finish(Answer.unsure("the shield did not answer"));
            }
        } else if (f.fate().equals(Answer.DONE)) {
            done(now(), f);
        } else if (f.fate().equals(Answer.REFUSED) && f.status() == 503 && f.retryMs() == 500 && asked.size() < 3) {
            pass(Answer.reject(f.status(), f.why(), f.retryMs()));
        } else if (open == 0) {
            finish(
                    f.fate().equals(Answer.REFUSED)
                            ? Answer.reject(f.status(), f.why(), f.retryMs())
                            : Answer.unsure(f.why()));
        }
    }

    private void note(final Reply r, final Msg.Filled f) {
        maybe |= f == null && r.trouble() != Reply.Trouble.NOT_SENT
                || f != null && f.fate().equals(Answer.UNKNOWN);
    }

    /** No holder to ask: a read is passed through where its route allows it. */
    private void noHolder(final Answer none) {
        if (!passing && anyShield() && is(Match.CACHED)) {
            pass(none);
        } else if (anyShield() && is(Match.ONCE)) {
            again(none);
        } else {
            finish(none);
        }
    }

    private void holderAnswered(final int shard, final long sent, final Reply r) {
        if (request.over()) {
            return;
        }
        final Msg.Filled f = r.as(Msg.Filled.class).orElse(null);
        note(r, f);
        if (f == null) {
            holderSilent(r.trouble());
        } else if (f.fate().equals(Answer.REFUSED)) {
            refused(f);
        } else if (f.token().below(edge.high(shard))) {
            outdated(shard, f);
        } else {
            edge.raise(shard, f.token());
            if (f.fate().equals(Answer.UNKNOWN)) {
                finish(Answer.unsure(f.why()));
            } else {
                done(sent, f);
            }
        }
    }

    private void holderSilent(final Reply.Trouble trouble) {
        final Answer unsure = Answer.unsure("the holder did not answer");
        if (trouble == Reply.Trouble.NOT_SENT) {
            again(Answer.reject(503, "the holder cannot be reached", 1000));
        } else if (anyShield() && is(Match.CACHED)) {
            noHolder(unsure);
        } else if (anyShield()) {
            again(unsure);
        } else {
            finish(unsure);
        }
    }

    private void refused(final Msg.Filled f) {
        final Answer a = Answer.reject(f.status(), f.why(), f.retryMs());
        if (!attempts.any() && open == 0) {
            finish(a);
        } else if (f.status() == 503 && f.retryMs() <= 500) {
            again(a);
        } else if (f.status() == 503 && !OriginDispatch.noNodeCanSend(f.why())) {
            noHolder(a);
        } else {
            finish(a);
        }
    }

    private void outdated(final int shard, final Msg.Filled f) {
        edge.journal()
                .add(Event.of(
                        Code.TOKEN_LOW,
                        "shard",
                        shard,
                        "token",
                        f.token().toString(),
                        "known",
                        edge.high(shard).toString()));
        if (is(Match.ONCE)) {
            finish(Answer.unsure("the answer came from an earlier holder"));
        } else {
            again(Answer.reject(503, "the answer came from an earlier holder", 500));
        }
    }

    private void done(final long sent, final Msg.Filled f) {
        if (!request.answered(sent, f)) {
            again(Answer.reject(503, "purged while it was filled", 500));
        }
    }

    /** A refusal that a fresher plan may cure is tried again soon, at most twice; keyed ones while there is time. */
    private void again(final Answer last) {
        if (request.over() || request.handed()) {
            return;
        }
        final boolean keyed = anyShield() && is(Match.ONCE) && now() - request.began() < spanOf(PATIENCE);
        final long rest = 60L * Math.max(1, Math.min(4, asks));
        final boolean read = anyShield() && is(Match.CACHED) && !passing;
        if (read && now() + rest - request.began() > holderPatience()) {
            pass(last);
        } else if (asks >= MOST_ASKS && !keyed || now() + rest + 200 >= cutoff) {
            if (read) {
                pass(last);
            } else {
                finish(last);
            }
        } else {
            edge.loop().after(rest, () -> askHolder(last));
        }
    }

    private double spanOf(final double part) {
        return (cutoff - request.began()) * part;
    }

    private double holderPatience() {
        final long aim = row.match().aimMs();
        return aim > 0 ? aim * HOLDER_PATIENCE : HOLDER_PATIENCE_MS;
    }
}
