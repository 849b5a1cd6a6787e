package org.rowanvalve.testkit.sim;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.rowanvalve.common.model.CancelCause;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.data.cancel.Cancellation;
import org.rowanvalve.data.request.ClientRequest;
import org.rowanvalve.data.request.ClientResponse;
import org.rowanvalve.testkit.scenario.ClientAnswer;
import org.rowanvalve.testkit.scenario.ClientCall;
import org.rowanvalve.testkit.scenario.Deployment;

/** Clients: a steady mix of requests, some of which are repeated. */
public final class SimClients {
    /** Clients that leave do so between these times after they have sent. */
    private static final long SHORTEST_STAY_MS = 5;

    private static final int LONGEST_STAY_MS = 900;
    private final SimCluster cluster;
    private boolean on;
    private long serial;
    private long keys;
    private double factor = 1;
    private double leavingShare;
    private final List<Consumer<String>> whenAccepted = new ArrayList<>();

    SimClients(final SimCluster cluster) {
        this.cluster = cluster;
    }

    public void factor(final double f) {
        factor = f;
    }

    /** A share of the clients closes its connection before it has an answer. */
    public void leave(final double share) {
        leavingShare = share;
    }

    /** The shield that sent it hears of the next keyed request that is accepted, in the instant its caller does. */
    void onceAccepted(final Consumer<String> shield) {
        whenAccepted.add(shield);
    }

    private void tellAccepted(final ClientResponse response) {
        final List<Consumer<String>> all = List.copyOf(whenAccepted);
        whenAccepted.clear();
        all.forEach(
                c -> c.accept(cluster.sender(String.valueOf(response.headers().get("rv-request")))));
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
            final double mean = 1000.0 / (cluster.place().perSecond() * factor);
            final long rest =
                    Math.max(0, Math.round(-Math.log(1 - cluster.world().dice().nextDouble()) * mean));
            cluster.world().in(rest, () -> {
                one();
                next();
            });
        }
    }

    private void one() {
        final Deployment.TrafficClass traffic =
                cluster.place().pick(cluster.world().dice().nextDouble());
        final double roll = cluster.world().dice().nextDouble();
        final String path = traffic.path(roll, 2);
        final String key = traffic.mode().equals("once") ? "key-" + ++keys : null;
        send(traffic, path, key, 1);
    }

    /** The platform picks by readiness among the nodes it can see. */
    private SimNode pick() {
        final List<SimNode> up = cluster.nodes().values().stream()
                .filter(node -> node.role() == Role.EDGE && node.alive())
                .toList();
        if (up.isEmpty()) {
            return null;
        }
        final List<SimNode> good = up.stream()
                .filter(node -> !node.frozen() && node.node().readinessScore() >= 50)
                .toList();
        final List<SimNode> from = good.isEmpty() ? up : good;
        return from.get(cluster.world().dice().nextInt(from.size()));
    }

    private static byte[] body(final String key) {
        return key == null ? new byte[0] : ("{\"for\":\"" + key + "\"}").getBytes(StandardCharsets.UTF_8);
    }

    private static ClientRequest plain(final String path, final String key) {
        return new ClientRequest(key == null ? "GET" : "POST", path, key, body(key), "application/json");
    }

    /** With a name of its own for this try, and how long the caller waits. */
    private ClientRequest tried(
            final Deployment.TrafficClass traffic, final String path, final String key, final long id) {
        return new ClientRequest(
                traffic.runs() ? "POST" : "GET",
                traffic.host(),
                path,
                key,
                body(key),
                "application/json",
                "a-" + id,
                cluster.place().hasty() ? 3000 : 1200,
                null,
                Map.of());
    }

    private void send(final Deployment.TrafficClass traffic, final String path, final String key, final int turn) {
        final SimNode node = pick();
        final long id = ++serial;
        final ClientCall call = new ClientCall(
                traffic,
                path,
                key,
                turn,
                node == null ? null : node.id().text(),
                cluster.world().now(),
                id);
        final ClientRequest request = cluster.place().shieldRun() ? tried(traffic, path, key, id) : plain(path, key);
        final boolean[] over = {false};
        final Consumer<ClientResponse> then = response -> {
            if (!over[0]) {
                over[0] = true;
                note(call, response);
                if (response != null && key != null && response.fate() == RequestOutcome.DONE) {
                    tellAccepted(response);
                }
            }
        };
        if (node == null) {
            then.accept(null);
            return;
        }
        final long life = node.life();
        final Cancellation cancellation = new Cancellation();
        if (leavingShare > 0 && cluster.world().dice().nextDouble() < leavingShare) {
            final long staysMs = SHORTEST_STAY_MS + cluster.world().dice().nextInt(LONGEST_STAY_MS);
            cluster.world().in(staysMs, () -> {
                if (!over[0]) {
                    over[0] = true;
                    leave(call, node, life, cancellation);
                }
            });
        }
        cluster.world().in(5000, () -> then.accept(null));
        cluster.world().in(1, () -> {
            if (node.alive() && node.life() == life) {
                node.execute(() -> node.node().edge().handle(request, cancellation, response -> {
                    if (node.alive() && node.life() == life) {
                        cluster.world().in(1, () -> then.accept(response));
                    }
                }));
            } else {
                then.accept(null);
            }
        });
    }

    private void leave(final ClientCall call, final SimNode node, final long life, final Cancellation cancellation) {
        cluster.log()
                .add(call.leftRow(cluster.world().now(), call.traffic().host().isEmpty() ? null : "a-" + call.id()));
        cluster.world().in(1, () -> {
            if (node.alive() && node.life() == life) {
                cancellation.announce(CancelCause.CLIENT_LEFT);
                node.execute(() -> cancellation.request(CancelCause.CLIENT_LEFT));
            }
        });
    }

    private void note(final ClientCall call, final ClientResponse response) {
        final Deployment.TrafficClass traffic = call.traffic();
        cluster.log()
                .add(call.row(
                        cluster.world().now(), answer(response), traffic.host().isEmpty() ? null : "a-" + call.id()));
        final boolean again = response == null || response.fate() != RequestOutcome.DONE;
        final double eager = cluster.place().hasty() ? 0.9 : 0.4;
        final boolean may =
                !traffic.mode().equals("single") || response != null && response.fate() == RequestOutcome.REFUSED;
        if (on && again && may && call.attempt() < 4 && cluster.world().dice().nextDouble() < eager) {
            final long rest =
                    cluster.place().hasty() ? 20 : 500 + cluster.world().dice().nextInt(1000);
            cluster.world().in(rest, () -> send(traffic, call.path(), call.key(), call.attempt() + 1));
        } else if (on
                && call.key() != null
                && !again
                && call.attempt() == 1
                && cluster.world().dice().nextDouble() < (traffic.host().isEmpty() ? 0.05 : 0.2)) {
            cluster.world()
                    .in(200 + cluster.world().dice().nextInt(3000), () -> send(traffic, call.path(), call.key(), 9));
        }
    }

    /** Null where no response came. */
    private static ClientAnswer answer(final ClientResponse response) {
        return response == null
                ? null
                : new ClientAnswer(
                        response.status(),
                        response.fate().code(),
                        response.headers().get("rv-stamp"),
                        response.headers().get("rv-request"),
                        response.headers().get("rv-digest"),
                        response.body());
    }
}
