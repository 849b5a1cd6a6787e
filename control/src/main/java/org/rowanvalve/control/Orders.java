package org.rowanvalve.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.rowanvalve.common.Finding;
import org.rowanvalve.common.Hash;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;
import org.rowanvalve.common.Kind;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.control.OrderLedger.Judgement;
import org.rowanvalve.control.OrderLedger.Verdict;

/**
 * Operators' orders under versions of their own: items set and dropped, objects purged, the whole read back. Every
 * answer rests on a majority that was asked after the order came in; without one it is 503, with when to come back.
 */
public final class Orders {
    private static final long SPAN = 2500;
    private static final long CONTACT = 700;
    /** After so long without an answer from the preferred node a call is taken here, unless it is known as taken. */
    private static final long FORWARD = 500;

    private static final long RETRY = 500;

    private final Loop loop;
    private final Net net;
    private final ItemStore held;
    private final FrameSync sync;
    private final Writer writer;
    private final Supplier<String> tags;
    private final Supplier<Optional<NodeId>> preferred;
    private final OrderSequencer sequencer;

    /** {@code preferred}: the node that should put calls in order, where it is another one that is heard from. */
    public Orders(
            final Loop loop,
            final Net net,
            final ItemStore held,
            final FrameSync sync,
            final Writer writer,
            final Supplier<String> tags,
            final Supplier<Optional<NodeId>> preferred) {
        this.loop = loop;
        this.net = net;
        this.held = held;
        this.sync = sync;
        this.writer = writer;
        this.tags = tags;
        this.preferred = preferred;
        this.sequencer = new OrderSequencer(loop, held, writer, tags);
    }

    /** From now on calls that were taken and left half written are finished here; {@code rank} spreads several nodes. */
    public void start(final int rank) {
        sequencer.start(rank);
    }

    private static ApiResult late(final String why) {
        return ApiResult.unavailable(why, RETRY);
    }

    /**
     * 200 once every item of the call stands at a majority, synced; the same call again is 200 for as long as its numbers
     * are known. 409 where a number was taken with another body: nothing of the call has taken force, or ever will.
     */
    public void patch(final byte[] data, final Consumer<ApiResult> back) {
        if (!sync.fresh()) {
            back.accept(late("this node's frame is not confirmed"));
            return;
        }
        final List<Finding> faults = new ArrayList<>();
        final Patch patch = Patch.read(data, faults);
        if (faults.isEmpty()) {
            order(patch, data, inContact(back));
        } else {
            invalid(faults, back);
        }
    }

    /** 422 after a majority has answered, so that a node that is cut off ends no order for good. */
    public void invalid(final List<Finding> faults, final Consumer<ApiResult> back) {
        refuse(ApiResult.invalid(faults), back);
    }

    public void refuse(final int status, final String why, final Consumer<ApiResult> back) {
        refuse(new ApiResult(status, ApiResult.members("fate", "refused", "reason", why)), back);
    }

    /** Says no for good, but only in contact with a majority. */
    private void refuse(final ApiResult no, final Consumer<ApiResult> back) {
        if (sync.fresh()) {
            sync.after(loop.now(), CONTACT, ok -> back.accept(ok ? no : late("no majority answered")));
        } else {
            back.accept(late("this node's frame is not confirmed"));
        }
    }

    private Consumer<ApiResult> inContact(final Consumer<ApiResult> back) {
        return AnswerDeadline.inContact(loop, sync, () -> late("no majority answered in time"), back);
    }

    /** At the preferred node, so that several calls are one write; where that one does not answer in time, here too. */
    private void order(final Patch patch, final byte[] data, final Consumer<ApiResult> back) {
        final Consumer<Judgement> then = AnswerDeadline.once(j -> decided(patch, j, back));
        final boolean[] here = {false};
        final Runnable local = () -> {
            if (!here[0]) {
                here[0] = true;
                sequencer.submit(patch, then);
            }
        };
        final Optional<NodeId> other = preferred.get();
        if (other.isEmpty()) {
            local.run();
            return;
        }
        loop.after(FORWARD, () -> {
            if (!sequencer.taken(patch)) {
                local.run();
            }
        });
        loop.after(2 * FORWARD, local);
        net.ask(
                other.get(),
                new Msg.Order(data),
                SPAN,
                r -> r.as(Msg.Ordered.class)
                        .map(Orders::judgement)
                        .filter(j -> j.verdict() != Verdict.OPEN)
                        .ifPresentOrElse(then, local));
    }

    /** A call that another node took in. */
    public void take(final Msg.Order ask, final Consumer<Msg> back) {
        final List<Finding> faults = new ArrayList<>();
        final Patch patch = Patch.read(ask.call(), faults);
        if (faults.isEmpty()) {
            sequencer.submit(
                    patch, j -> back.accept(new Msg.Ordered(j.verdict().name(), j.item(), j.version(), j.findings())));
        } else {
            back.accept(new Msg.Nay("the call has faults here"));
        }
    }

    private static Judgement judgement(final Msg.Ordered said) {
        return new Judgement(Verdict.valueOf(said.verdict()), said.item(), said.version(), said.findings());
    }

    private void decided(final Patch patch, final Judgement j, final Consumer<ApiResult> back) {
        switch (j.verdict()) {
            case STANDS -> back.accept(ApiResult.done("items", standing(patch)));
            case CONFLICT -> back.accept(ApiResult.conflict(j.item(), j.version()));
            case UNFIT -> unfit(patch, back);
            default -> back.accept(late("no majority confirmed every item"));
        }
    }

    private Map<String, Object> standing(final Patch patch) {
        final Map<String, Object> done = new TreeMap<>();
        patch.parts()
                .forEach((id, p) -> done.put(
                        id.kind().word() + "/" + id.name(),
                        Math.max(p.ver().n(), held.get(id).ver().n())));
        return done;
    }

    /** What the call names may have been stated past the ledger, at another node: judged once more by a frame since. */
    private void unfit(final Patch patch, final Consumer<ApiResult> back) {
        sync.after(loop.now(), CONTACT, ok -> {
            if (!ok) {
                back.accept(late("no majority answered"));
                return;
            }
            sequencer.submit(patch, j -> {
                if (j.verdict() == Verdict.UNFIT) {
                    back.accept(ApiResult.invalid(j.findings()));
                } else {
                    decided(patch, j, back);
                }
            });
        });
    }

    /** Of a host's path or of a tag; each order is a version of its own, so that what was filled since the last one goes too. */
    public void purge(final Purge what, final Consumer<ApiResult> back) {
        if (!sync.fresh()) {
            back.accept(late("this node's frame is not confirmed"));
            return;
        }
        final Consumer<ApiResult> once = inContact(back);
        final String name = (what.tag() != null ? "t." : "h.")
                + Long.toHexString(Hash.mix(what.tag() != null ? what.tag() : what.host() + "|" + what.path()));
        final ItemId id = new ItemId(Kind.PURGE, name);
        final String tag = tags.get();
        final String body = Json.text(what);
        writer.write(
                id,
                tag,
                SPAN,
                now -> {
                    final Item n = now.next(body, tag);
                    return Optional.of(new Item(id, held.rise(n), n.body(), false, tag));
                },
                r -> once.accept(
                        r.ok()
                                ? ApiResult.done(
                                        "item",
                                        "purge/" + name,
                                        "version",
                                        r.item().ver().n())
                                : late("no majority confirmed the purge")));
    }

    /** All that stands, as of a moment after the question: nothing accepted before is missing. */
    public void whole(final Consumer<Optional<Map<Kind, Map<String, Item>>>> back) {
        whole(AnswerDeadline.CONTACT, back);
    }

    public void whole(final long span, final Consumer<Optional<Map<Kind, Map<String, Item>>>> back) {
        sync.after(loop.now(), span, ok -> {
            if (!ok) {
                back.accept(Optional.empty());
                return;
            }
            final Map<Kind, Map<String, Item>> all = new HashMap<>();
            held.all().stream()
                    .map(Msg.Chosen::item)
                    .filter(i -> i.live() && i.id().kind().stated())
                    .forEach(i -> all.computeIfAbsent(i.id().kind(), k -> new TreeMap<>())
                            .put(i.id().name(), i));
            back.accept(Optional.of(all));
        });
    }
}
