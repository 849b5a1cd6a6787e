package org.rowanvalve.testkit.sim;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.rowanvalve.common.model.Hash;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.data.origin.OriginResponseValidator;
import org.rowanvalve.data.origin.OriginTransport;
import org.rowanvalve.testkit.log.RunLog;
import org.rowanvalve.testkit.origin.StandInBackend;

/** A shield's connections to origins on virtual time. */
public final class SimOriginTransport implements OriginTransport {
    private final OriginDirectory yard;
    private final SimNode self;
    private final Map<String, Long> open = new HashMap<>();
    private final Set<PendingExchange> trips = new LinkedHashSet<>();

    /** Who answers at which address. */
    public static final class OriginDirectory {
        private final VirtualTime time;
        private final SimTransport net;
        private final RunLog log;
        private final Map<String, SimOrigin> sites = new TreeMap<>();
        private final Map<String, String> senders = new HashMap<>();

        public OriginDirectory(final VirtualTime time, final SimTransport net, final RunLog log) {
            this.time = time;
            this.net = net;
            this.log = log;
        }

        public void move(final String host, final SimOrigin who) {
            sites.put(host, who);
        }

        /** The shield whose request reached an origin; empty where none did. */
        String sender(final String request) {
            return senders.getOrDefault(request, "");
        }

        SimOriginTransport port(final SimNode self) {
            return new SimOriginTransport(this, self);
        }
    }

    private SimOriginTransport(final OriginDirectory yard, final SimNode self) {
        this.yard = yard;
        this.self = self;
    }

    @Override
    public Exchange send(
            final Origin origin,
            final OutboundRequest request,
            final Permission gate,
            final Consumer<OriginResponse> then) {
        final PendingExchange trip = new PendingExchange(origin, request, gate, then);
        trips.add(trip);
        self.schedule(Math.max(20, request.timeoutMs()), trip::late);
        trip.begin();
        return trip;
    }

    boolean busy() {
        return !trips.isEmpty();
    }

    /** A share of the circuits to origins is reset: requests on them are lost, later ones connect anew. */
    void resetCircuits(final DoubleSupplier roll, final double share) {
        for (final PendingExchange trip : List.copyOf(trips)) {
            if (roll.getAsDouble() < share) {
                open.remove(trip.site());
                trip.broken();
            }
        }
    }

    private final class PendingExchange implements Exchange {
        private final Origin origin;
        private final OutboundRequest request;
        private final Permission gate;
        private final Consumer<OriginResponse> then;
        private boolean over;
        private boolean sent;
        /** The origin has seen the connection close. */
        private boolean dropped;
        /** At the origin, until its work on the request has ended. */
        private SimOrigin worksOn;

        private long plannedEnd;

        PendingExchange(
                final Origin origin,
                final OutboundRequest request,
                final Permission gate,
                final Consumer<OriginResponse> then) {
            this.gate = gate;
            this.origin = origin;
            this.request = request;
            this.then = then;
        }

        String site() {
            return origin.host() + "|" + origin.service() + "|" + origin.instance();
        }

        void broken() {
            end(OriginResponse.failure(sent ? ExchangeResult.LOST : ExchangeResult.NOT_SENT, "circuit reset"));
        }

        void late() {
            end(OriginResponse.failure(sent ? ExchangeResult.LOST : ExchangeResult.NOT_SENT, "no answer in time"));
        }

        private void hop(final Runnable job) {
            final long mine = self.life();
            final String me = self.id().text();
            yard.time.in(yard.net.delay(me, origin.host()), () -> {
                if (yard.net.open(me, origin.host()) && yard.net.open(origin.host(), me) && self.life() == mine) {
                    job.run();
                }
            });
        }

        void begin() {
            final SimOrigin at = yard.sites.get(origin.host());
            final String site = site();
            if (at != null && at.alive() && open.getOrDefault(site, -1L) == at.life()) {
                go(at, at.life());
                return;
            }
            hop(() -> {
                final SimOrigin who = yard.sites.get(origin.host());
                if (who == null || !who.alive()) {
                    self.execute(() -> end(OriginResponse.failure(ExchangeResult.NOT_SENT, "connection refused")));
                    return;
                }
                hop(() -> self.execute(() -> {
                    if (over) {
                        return;
                    }
                    if (!who.stock().service().equals(origin.service())
                            || !who.stamp().equals(origin.instance())) {
                        end(OriginResponse.failure(
                                ExchangeResult.WRONG_INSTANCE,
                                "identity " + who.stock().service() + " " + who.stamp()));
                        return;
                    }
                    open.put(site, who.life());
                    go(who, who.life());
                }));
            });
        }

        private void go(final SimOrigin who, final long life) {
            if (!gate.mayWrite()) {
                end(OriginResponse.failure(
                        ExchangeResult.NOT_PERMITTED, "the right to send ended before the bytes left"));
                return;
            }
            sent = true;
            hop(() -> {
                if (!who.alive() || who.life() != life) {
                    self.execute(() -> end(OriginResponse.failure(ExchangeResult.LOST, "circuit reset")));
                    return;
                }
                arrive(who, life);
            });
        }

        private void arrive(final SimOrigin who, final long life) {
            final boolean run = "POST".equals(request.method());
            final int slots = who.make().slots();
            final int here = slots == 0 ? 0 : who.enter();
            if (slots > 0 && here > 2 * slots || who.fault().equals("full")) {
                who.exit();
                hop(() -> self.execute(
                        () -> end(OriginResponse.failure(ExchangeResult.NOT_EXECUTED, "every slot is taken"))));
                return;
            }
            yard.senders.put(request.requestId(), self.id().text());
            yard.log.add(RunLog.row(
                    "log",
                    "org",
                    "t",
                    yard.time.now(),
                    "origin",
                    who.name(),
                    "service",
                    who.stock().service(),
                    "want",
                    request.service(),
                    "stamp",
                    who.stamp(),
                    "what",
                    run ? "run" : "get",
                    "request",
                    request.requestId(),
                    "path",
                    request.path(),
                    "key",
                    request.key(),
                    "from",
                    self.id().text()));
            final String text = run
                    ? who.stock().run(request.path(), request.key())
                    : who.stock().view(request.path());
            final long wait = slots == 0 ? 0 : who.slow() * Math.max(0, here - slots) / slots;
            worksOn = who;
            plannedEnd = yard.time.now() + who.slow() + wait;
            if (dropped) {
                endWork("dropped");
                return;
            }
            if (who.fault().equals("lose")) {
                yard.time.in(who.slow(), () -> endWork("lost"));
                return;
            }
            yard.time.in(who.slow() + wait, () -> {
                if (!endWork("done")) {
                    return;
                }
                if (who.alive() && who.life() == life) {
                    hop(() -> self.execute(() -> end(whole(who, run, text))));
                } else {
                    hop(() -> self.execute(() -> end(OriginResponse.failure(ExchangeResult.LOST, "circuit reset"))));
                }
            });
        }

        /** False where it has ended before. */
        private boolean endWork(final String how) {
            if (worksOn == null) {
                return false;
            }
            final SimOrigin origin = worksOn;
            worksOn = null;
            origin.exit();
            yard.log.add(RunLog.row(
                    "log",
                    "orgend",
                    "t",
                    yard.time.now(),
                    "origin",
                    origin.name(),
                    "request",
                    request.requestId(),
                    "from",
                    self.id().text(),
                    "how",
                    how,
                    "planned",
                    plannedEnd));
            return true;
        }

        private OriginResponse whole(final SimOrigin who, final boolean run, final String text) {
            final byte[] body = text.getBytes(StandardCharsets.UTF_8);
            final Map<String, String> heads = new TreeMap<>();
            heads.put("content-type", "application/json");
            heads.put("content-length", String.valueOf(body.length));
            heads.put(OriginResponseValidator.INSTANCE_HEADER, who.stamp());
            heads.put(OriginResponseValidator.REQUEST_HEADER, request.requestId());
            heads.put(OriginResponseValidator.DIGEST_HEADER, Hash.sha256Hex(body));
            if (who.fault().equals("wrong")) {
                body[body.length - 2] ^= 1;
            }
            final OriginResponse own = new OriginResponse(
                    ExchangeResult.COMPLETE,
                    run ? 201 : 200,
                    heads,
                    body,
                    "",
                    run || who.make().slots() == 0 ? List.of() : List.of(StandInBackend.tag(request.path())),
                    Load.NONE);
            return who.fault().equals("surplus") ? who.late(own) : own;
        }

        private void end(final OriginResponse response) {
            trips.remove(this);
            if (!over) {
                over = true;
                then.accept(response);
            }
        }

        @Override
        public void abort() {
            trips.remove(this);
            if (!over && sent) {
                hop(() -> {
                    dropped = true;
                    endWork("dropped");
                });
            }
            over = true;
        }
    }
}
