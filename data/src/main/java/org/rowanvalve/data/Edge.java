package org.rowanvalve.data;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.Net;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Token;
import org.rowanvalve.control.ConfigView;
import org.rowanvalve.control.ConfiguredRoute;
import org.rowanvalve.control.Limits;
import org.rowanvalve.control.Match;

/** A request's way at an edge: the steps compiled for its route, run one by one until one answers. */
public final class Edge {
    private static final int ROOM = 2048;
    private final Loop loop;
    private final Net net;
    private final ConfigView view;
    private final BooleanSupplier fresh;
    private final int shards;
    private final Journal journal;
    private final EdgeRouting way;
    private final Cache cache;
    private final Map<Integer, Token> high = new HashMap<>();
    private final Map<String, CacheFlight> flights = new HashMap<>();
    private final Map<Long, ShieldForwarding.Exchange> exchanges = new HashMap<>();
    private long serial;
    private int busy;
    private boolean shut;
    private long last = Long.MIN_VALUE / 2;

    public Edge(
            final Loop loop,
            final Net net,
            final ConfigView view,
            final BooleanSupplier fresh,
            final int shards,
            final Journal journal,
            final long room,
            final Predicate<NodeId> heard) {
        this(loop, net, view, fresh, shards, journal, room, EdgeRouting.of(heard));
    }

    public Edge(
            final Loop loop,
            final Net net,
            final ConfigView view,
            final BooleanSupplier fresh,
            final int shards,
            final Journal journal,
            final long room,
            final EdgeRouting way) {
        this.way = way;
        this.loop = loop;
        this.net = net;
        this.view = view;
        this.fresh = fresh;
        this.shards = shards;
        this.journal = journal;
        this.cache = new Cache(room, c -> view.clean(c.tags()));
    }

    enum Step {
        FRAME,
        METHOD,
        SIZE,
        RULE,
        KEY,
        COPY,
        JOIN,
        SEND
    }

    static List<Step> compile(final ConfiguredRoute row) {
        final List<Step> list = new ArrayList<>(List.of(Step.METHOD, Step.SIZE));
        if (row.rule().isPresent()) {
            list.add(Step.RULE);
        }
        if (row.match().purgeable()) {
            list.add(Step.FRAME);
        }
        switch (row.match().mode()) {
            case Match.CACHED -> list.addAll(List.of(Step.COPY, Step.JOIN));
            case Match.ONCE -> list.add(Step.KEY);
            default -> {}
        }
        list.add(Step.SEND);
        return list;
    }

    /** What callers may send now. */
    public Limits limits() {
        return view.limits();
    }

    public void shut() {
        shut = true;
    }

    public int busy() {
        return busy;
    }

    /** Whether there is anything to serve and a shield to ask. */
    public boolean able() {
        return !shut && !view.rows().isEmpty() && !way.near().isEmpty();
    }

    /** Whether no request has come for a while, in ms. */
    public boolean quiet(final long ms) {
        return loop.now() - last >= ms;
    }

    public void take(final ClientRequest ask, final Consumer<Answer> then) {
        last = loop.now();
        if (shut) {
            then.accept(Answer.reject(503, "this node is leaving", 1000));
            return;
        }
        if (busy >= ROOM) {
            then.accept(Answer.reject(503, "too many requests wait here", 1000));
            return;
        }
        final ConfiguredRoute row = view.route(ask.host(), ask.path()).orElse(null);
        if (row == null) {
            then.accept(
                    fresh.getAsBoolean()
                            ? Answer.reject(404, "no route takes this path", 0)
                            : Answer.reject(503, "the frame is not confirmed", 1000));
            return;
        }
        if (!row.fit()) {
            then.accept(Answer.reject(503, "the route does not fit its service", 1000));
            return;
        }
        busy++;
        new EdgeRequest(this, ask, row, a -> {
                    busy--;
                    then.accept(a);
                })
                .run();
    }

    Loop loop() {
        return loop;
    }

    Net net() {
        return net;
    }

    ConfigView view() {
        return view;
    }

    EdgeRouting way() {
        return way;
    }

    Cache cache() {
        return cache;
    }

    Journal journal() {
        return journal;
    }

    /** The serial by which the shield may ask for further attempts until it has answered. */
    long open(final ShieldForwarding.Exchange exchange) {
        final long mine = next();
        exchanges.put(mine, exchange);
        return mine;
    }

    void closed(final long exchange) {
        exchanges.remove(exchange);
    }

    /** How many more origins a shield may send the request of this serial to. */
    public int moreAttempts(final NodeId from, final long exchange) {
        return exchanges.containsKey(exchange) ? exchanges.get(exchange).more(from) : 0;
    }

    Map<String, CacheFlight> flights() {
        return flights;
    }

    boolean fresh() {
        return fresh.getAsBoolean();
    }

    int shards() {
        return shards;
    }

    long next() {
        return ++serial;
    }

    Token high(final int shard) {
        return high.getOrDefault(shard, Token.ZERO);
    }

    void raise(final int shard, final Token t) {
        high.merge(shard, t, (a, b) -> a.below(b) ? b : a);
    }
}
