package org.rowanvalve.testkit.sim;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.rowanvalve.common.Hash;
import org.rowanvalve.common.Role;
import org.rowanvalve.control.Json;
import org.rowanvalve.data.Answer;
import org.rowanvalve.data.ClientRequest;
import org.rowanvalve.testkit.Log;
import org.rowanvalve.testkit.Place;

/** Requesters: a steady mix, some of whom ask again. */
public final class SimClients {
    private final SimCluster town;
    private boolean on;
    private long serial;
    private long keys;
    private double factor = 1;
    private final List<Consumer<String>> whenAccepted = new ArrayList<>();

    SimClients(final SimCluster town) {
        this.town = town;
    }

    public void factor(final double f) {
        factor = f;
    }

    /** The shield that sent it hears of the next keyed request that is accepted, in the instant its caller does. */
    void onceAccepted(final Consumer<String> shield) {
        whenAccepted.add(shield);
    }

    private void tellAccepted(final Answer a) {
        final List<Consumer<String>> all = List.copyOf(whenAccepted);
        whenAccepted.clear();
        all.forEach(c -> c.accept(town.sender(String.valueOf(a.heads().get("rv-request")))));
    }

    void start() {
        on = true;
        next();
    }

    void stop() {
        on = false;
    }

    private void next() {
        if (on) {
            final double mean = 1000.0 / (town.place().perSecond() * factor);
            final long rest =
                    Math.max(0, Math.round(-Math.log(1 - town.world().dice().nextDouble()) * mean));
            town.world().in(rest, () -> {
                one();
                next();
            });
        }
    }

    private void one() {
        final Place.EdgeRouting w = town.place().pick(town.world().dice().nextDouble());
        final double roll = town.world().dice().nextDouble();
        final String path = w.prefix() + (int) (w.objects() * roll * roll);
        final String key = w.mode().equals("once") ? "key-" + ++keys : null;
        send(w, path, key, 1);
    }

    /** The platform picks by readiness among the nodes it can see. */
    private SimNode pick() {
        final List<SimNode> up = town.nodes().values().stream()
                .filter(n -> n.role() == Role.EDGE && n.alive())
                .toList();
        if (up.isEmpty()) {
            return null;
        }
        final List<SimNode> good =
                up.stream().filter(n -> !n.frozen() && n.node().grade() >= 50).toList();
        final List<SimNode> from = good.isEmpty() ? up : good;
        return from.get(town.world().dice().nextInt(from.size()));
    }

    private static byte[] body(final String key) {
        return key == null ? new byte[0] : ("{\"for\":\"" + key + "\"}").getBytes(StandardCharsets.UTF_8);
    }

    private static ClientRequest plain(final String path, final String key) {
        return new ClientRequest(key == null ? "GET" : "POST", path, key, body(key), "application/json");
    }

    /** With a name of its own for this try, and how long the caller waits. */
    private ClientRequest tried(final Place.EdgeRouting w, final String path, final String key, final long id) {
        return new ClientRequest(
                w.runs() ? "POST" : "GET",
                w.host(),
                path,
                key,
                body(key),
                "application/json",
                "a-" + id,
                town.place().hasty() ? 3000 : 1200,
                null,
                Map.of());
    }

    private void send(final Place.EdgeRouting w, final String path, final String key, final int turn) {
        final SimNode at = pick();
        final long t = town.world().now();
        final long id = ++serial;
        final ClientRequest ask = town.place().shieldRun() ? tried(w, path, key, id) : plain(path, key);
        final boolean[] over = {false};
        final Consumer<Answer> then = a -> {
            if (!over[0]) {
                over[0] = true;
                note(w, path, key, turn, at, t, id, a);
                if (a != null && key != null && a.fate().equals(Answer.DONE)) {
                    tellAccepted(a);
                }
            }
        };
        if (at == null) {
            then.accept(null);
            return;
        }
        final long life = at.life();
        town.world().in(5000, () -> then.accept(null));
        town.world().in(1, () -> {
            if (at.alive() && at.life() == life) {
                at.post(() -> at.node().edge().take(ask, a -> {
                    if (at.alive() && at.life() == life) {
                        town.world().in(1, () -> then.accept(a));
                    }
                }));
            } else {
                then.accept(null);
            }
        });
    }

    private void note(
            final Place.EdgeRouting w,
            final String path,
            final String key,
            final int turn,
            final SimNode at,
            final long t,
            final long id,
            final Answer a) {
        final String text = a == null ? "" : new String(a.body(), StandardCharsets.UTF_8);
        final Map<?, ?> map = a != null && a.fate().equals(Answer.DONE) ? Json.read(text, Map.class) : Map.of();
        town.log()
                .add(Log.row(
                        "log",
                        "req",
                        "t",
                        t,
                        "end",
                        town.world().now(),
                        "id",
                        id,
                        "node",
                        at == null ? null : at.id().text(),
                        "route",
                        w.route(),
                        "mode",
                        w.mode(),
                        "life",
                        w.lifetimeMs(),
                        "path",
                        path,
                        "key",
                        key,
                        "turn",
                        turn,
                        "attempt",
                        w.host().isEmpty() ? null : "a-" + id,
                        "status",
                        a == null ? 0 : a.status(),
                        "fate",
                        a == null ? "none" : a.fate(),
                        "stamp",
                        a == null ? null : a.heads().get("rv-stamp"),
                        "request",
                        a == null ? null : a.heads().get("rv-request"),
                        "whole",
                        a == null
                                ? null
                                : Hash.digest(a.body()).equals(a.heads().get("rv-digest")),
                        "why",
                        a == null || a.fate().equals(Answer.DONE) ? null : text,
                        "said",
                        map.get("path"),
                        "saidKey",
                        map.get("key"),
                        "rev",
                        map.get("rev")));
        final boolean again = a == null || !a.fate().equals(Answer.DONE);
        final double eager = town.place().hasty() ? 0.9 : 0.4;
        final boolean may = !w.mode().equals("single") || a != null && a.fate().equals(Answer.REFUSED);
        if (on && again && may && turn < 4 && town.world().dice().nextDouble() < eager) {
            final long rest =
                    town.place().hasty() ? 20 : 500 + town.world().dice().nextInt(1000);
            town.world().in(rest, () -> send(w, path, key, turn + 1));
        } else if (on
                && key != null
                && !again
                && turn == 1
                && town.world().dice().nextDouble() < (w.host().isEmpty() ? 0.05 : 0.2)) {
            town.world().in(200 + town.world().dice().nextInt(3000), () -> send(w, path, key, 9));
        }
    }
}
