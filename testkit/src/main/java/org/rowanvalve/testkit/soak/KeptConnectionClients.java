package org.rowanvalve.testkit.soak;

import java.io.IOException;
import java.net.ConnectException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.rowanvalve.testkit.fleet.ClientHttp;
import org.rowanvalve.testkit.fleet.FleetMachine;
import org.rowanvalve.testkit.log.RunLog;
import org.rowanvalve.testkit.scenario.ClientAnswer;
import org.rowanvalve.testkit.scenario.ClientCall;
import org.rowanvalve.testkit.scenario.Deployment;

/**
 * Clients with one connection each, which they use request after request until the process on the other side is gone.
 * A keyed request whose answer does not come is repeated, with its key, at another edge.
 */
final class KeptConnectionClients {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1000);
    private static final long PAUSE_MS = 60;
    private static final long RECONNECT_MS = 200;
    private static final long WINDOW_MS = 2000;
    private static final int OBJECTS = 20;
    private static final long JOIN_MS = 8000;
    /** One request in so many is given up: its client closes the connection, unless the answer comes first. */
    private static final int GIVEN_UP_ONE_IN = 12;

    private static final int LONGEST_STAY_MS = 400;

    /** A request whose connection ended without an answer; times in milliseconds since the epoch. */
    record CutRequest(String edge, String path, long startedAt, long endedAt) {}

    /** Requests that ended in a window of time, and how many of them were served. */
    record Served(int served, int all) {}

    private record Outcome(long at, boolean served) {}

    private final Deployment deployment;
    private final List<FleetMachine> edges;
    private final RunLog log;
    private final List<Thread> threads = new ArrayList<>();
    private final List<CutRequest> cut = new ArrayList<>();
    private final Deque<Outcome> recent = new ArrayDeque<>();
    private final AtomicLong serial = new AtomicLong();
    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong served = new AtomicLong();
    private volatile boolean running = true;

    KeptConnectionClients(
            final Deployment deployment,
            final List<FleetMachine> edges,
            final RunLog log,
            final int clientsPerEdge,
            final long seed) {
        this.deployment = deployment;
        this.edges = edges;
        this.log = log;
        for (int i = 0; i < edges.size() * clientsPerEdge; i++) {
            final Client client = new Client(edges.get(i % edges.size()), new Random(seed * 1000 + i));
            final Thread thread = new Thread(client, "kept-connection-" + i);
            thread.setDaemon(true);
            threads.add(thread);
        }
    }

    void start() {
        threads.forEach(Thread::start);
    }

    /** One connection to one edge. */
    private final class Client implements Runnable {
        private final FleetMachine edge;
        private final Random random;
        private HttpClient http = connectAnew();

        Client(final FleetMachine edge, final Random random) {
            this.edge = edge;
            this.random = random;
        }

        private HttpClient connectAnew() {
            return HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .build();
        }

        @Override
        public void run() {
            try {
                while (running) {
                    final Deployment.TrafficClass traffic = deployment.pick(random.nextDouble());
                    final long id = serial.incrementAndGet();
                    final String key = traffic.runs() ? "kept-" + id : null;
                    final ClientAnswer answer = request(http, edge, traffic, path(traffic, id), key, 1);
                    if (answer == null && key != null) {
                        repeatElsewhere(traffic, path(traffic, id), key);
                    }
                    TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
                }
            } catch (final InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** Requests that origins run have paths of their own, so that it can be told what an origin has got. */
        private String path(final Deployment.TrafficClass traffic, final long id) {
            return traffic.mode().equals("cached")
                    ? traffic.prefix() + id % Math.min(OBJECTS, traffic.objects())
                    : traffic.prefix() + "kept-" + id;
        }

        private void repeatElsewhere(final Deployment.TrafficClass traffic, final String path, final String key)
                throws InterruptedException {
            final List<FleetMachine> others =
                    edges.stream().filter(other -> other != edge).toList();
            if (!others.isEmpty()) {
                final FleetMachine other = others.get(random.nextInt(others.size()));
                request(connectAnew(), other, traffic, path, key, 2);
            }
        }

        /** Null where no answer came. */
        private ClientAnswer request(
                final HttpClient client,
                final FleetMachine target,
                final Deployment.TrafficClass traffic,
                final String path,
                final String key,
                final int attempt)
                throws InterruptedException {
            final ClientCall call = new ClientCall(
                    traffic, path, key, attempt, target.name(), System.currentTimeMillis(), serial.incrementAndGet());
            sent.incrementAndGet();
            ClientAnswer answer = null;
            try {
                final HttpRequest request = ClientHttp.request(call, target);
                final HttpResponse<byte[]> response = random.nextInt(GIVEN_UP_ONE_IN) == 0
                        ? sendOrLeave(client, request)
                        : client.send(request, HttpResponse.BodyHandlers.ofByteArray());
                if (response == null) {
                    log.add(call.leftRow(System.currentTimeMillis(), null));
                    return null;
                }
                answer = ClientHttp.answer(response);
            } catch (final ConnectException | java.net.http.HttpTimeoutException e) {
                TimeUnit.MILLISECONDS.sleep(RECONNECT_MS);
            } catch (final IOException e) {
                noteCut(call);
                TimeUnit.MILLISECONDS.sleep(RECONNECT_MS);
            }
            log.add(call.row(System.currentTimeMillis(), answer, null));
            noteOutcome(answer != null && answer.isDone());
            return answer;
        }

        /** Null where the answer did not come soon, and the connection was closed. */
        private HttpResponse<byte[]> sendOrLeave(final HttpClient client, final HttpRequest request)
                throws IOException, InterruptedException {
            final CompletableFuture<HttpResponse<byte[]>> response =
                    client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray());
            try {
                return response.get(1 + random.nextInt(LONGEST_STAY_MS), TimeUnit.MILLISECONDS);
            } catch (final TimeoutException e) {
                response.cancel(true);
                http = connectAnew();
                return null;
            } catch (final ExecutionException e) {
                throw e.getCause() instanceof IOException failure ? failure : new IOException(e.getCause());
            }
        }

        private void noteCut(final ClientCall call) {
            synchronized (cut) {
                cut.add(new CutRequest(call.edge(), call.path(), call.startedAt(), System.currentTimeMillis()));
            }
            http = connectAnew();
        }
    }

    private void noteOutcome(final boolean wasServed) {
        if (wasServed) {
            served.incrementAndGet();
        }
        final long now = System.currentTimeMillis();
        synchronized (recent) {
            recent.addLast(new Outcome(now, wasServed));
            while (recent.peekFirst().at() < now - WINDOW_MS) {
                recent.removeFirst();
            }
        }
    }

    /** Of the last {@value #WINDOW_MS} ms. */
    Served recent() {
        final long now = System.currentTimeMillis();
        synchronized (recent) {
            final List<Outcome> window =
                    recent.stream().filter(o -> o.at() >= now - WINDOW_MS).toList();
            return new Served((int) window.stream().filter(Outcome::served).count(), window.size());
        }
    }

    List<CutRequest> cut() {
        synchronized (cut) {
            return List.copyOf(cut);
        }
    }

    long sent() {
        return sent.get();
    }

    long served() {
        return served.get();
    }

    /** Returns when each client's last request is over. */
    void stop() throws InterruptedException {
        running = false;
        for (final Thread thread : threads) {
            thread.join(JOIN_MS);
        }
    }
}
