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
import org.rowanvalve.common.Hash;
import org.rowanvalve.control.Origin;
import org.rowanvalve.data.AnswerCheck;
import org.rowanvalve.data.Port;
import org.rowanvalve.testkit.Log;
import org.rowanvalve.testkit.Stock;

/** A shield's circuits to origins on virtual time. */
public final class SimPort implements Port {
    private final Yard yard;
    private final SimNode self;
    private final Map<String, Long> open = new HashMap<>();
    private final Set<Trip> trips = new LinkedHashSet<>();

    /** Who answers at which address. */
    public static final class Yard {
        private final World world;
        private final SimNet net;
        private final Log log;
        private final Map<String, SimOrigin> sites = new TreeMap<>();
        private final Map<String, String> senders = new HashMap<>();

        public Yard(final World world, final SimNet net, final Log log) {
            this.world = world;
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

        SimPort port(final SimNode self) {
            return new SimPort(this, self);
        }
    }

    private SimPort(final Yard yard, final SimNode self) {
        this.yard = yard;
        this.self = self;
    }

    @Override
    public Rope send(final Origin to, final Send what, final Gate gate, final Consumer<Got> then) {
        final Trip trip = new Trip(to, what, gate, then);
        trips.add(trip);
        self.after(Math.max(20, what.span()), trip::late);
        trip.begin();
        return trip;
    }

    boolean busy() {
        return !trips.isEmpty();
    }

    /** A share of the circuits to origins is reset: requests on them are lost, later ones connect anew. */
    void resetCircuits(final DoubleSupplier roll, final double share) {
        for (final Trip trip : List.copyOf(trips)) {
            if (roll.getAsDouble() < share) {
                open.remove(trip.site());
                trip.broken();
            }
        }
    }

    private final class Trip implements Rope {
        private final Origin to;
        private final Send what;
        private final Gate gate;
        private final Consumer<Got> then;
        private boolean over;
        private boolean sent;

        Trip(final Origin to, final Send what, final Gate gate, final Consumer<Got> then) {
            this.gate = gate;
            this.to = to;
            this.what = what;
            this.then = then;
        }

        String site() {
            return to.host() + "|" + to.service() + "|" + to.stamp();
        }

        void broken() {
            end(Got.none(sent ? End.LOST : End.NOT_SENT, "circuit reset"));
        }

        void late() {
            end(Got.none(sent ? End.LOST : End.NOT_SENT, "no answer in time"));
        }

        private void hop(final Runnable job) {
            final long mine = self.life();
            final String me = self.id().text();
            yard.world.in(yard.net.delay(me, to.host()), () -> {
                if (yard.net.open(me, to.host()) && yard.net.open(to.host(), me) && self.life() == mine) {
                    job.run();
                }
            });
        }

        void begin() {
            final SimOrigin at = yard.sites.get(to.host());
            final String site = site();
            if (at != null && at.alive() && open.getOrDefault(site, -1L) == at.life()) {
                go(at, at.life());
                return;
            }
            hop(() -> {
                final SimOrigin who = yard.sites.get(to.host());
                if (who == null || !who.alive()) {
                    self.post(() -> end(Got.none(End.NOT_SENT, "connection refused")));
                    return;
                }
                hop(() -> self.post(() -> {
                    if (over) {
                        return;
                    }
                    if (!who.stock().service().equals(to.service())
                            || !who.stamp().equals(to.stamp())) {
                        end(Got.none(End.STRANGE, "identity " + who.stock().service() + " " + who.stamp()));
                        return;
                    }
                    open.put(site, who.life());
                    go(who, who.life());
                }));
            });
        }

        private void go(final SimOrigin who, final long life) {
            if (!gate.open()) {
                end(Got.none(End.BARRED, "the right to send ended before the bytes left"));
                return;
            }
            sent = true;
            hop(() -> {
                if (!who.alive() || who.life() != life) {
                    self.post(() -> end(Got.none(End.LOST, "circuit reset")));
                    return;
                }
                arrive(who, life);
            });
        }

        private void arrive(final SimOrigin who, final long life) {
            final boolean run = "POST".equals(what.method());
            final int slots = who.make().slots();
            final int here = slots == 0 ? 0 : who.enter();
            if (slots > 0 && here > 2 * slots) {
                who.exit();
                hop(() -> self.post(() -> end(Got.none(End.TURNED, "every slot is taken"))));
                return;
            }
            yard.senders.put(what.id(), self.id().text());
            yard.log.add(Log.row(
                    "log",
                    "org",
                    "t",
                    yard.world.now(),
                    "origin",
                    who.name(),
                    "service",
                    who.stock().service(),
                    "want",
                    what.service(),
                    "stamp",
                    who.stamp(),
                    "what",
                    run ? "run" : "get",
                    "request",
                    what.id(),
                    "path",
                    what.path(),
                    "key",
                    what.key(),
                    "from",
                    self.id().text()));
            final String text =
                    run ? who.stock().run(what.path(), what.key()) : who.stock().view(what.path());
            if (who.fault().equals("lose")) {
                yard.world.in(who.slow(), who::exit);
                return;
            }
            final long wait = slots == 0 ? 0 : who.slow() * Math.max(0, here - slots) / slots;
            yard.world.in(who.slow() + wait, () -> {
                who.exit();
                if (who.alive() && who.life() == life) {
                    hop(() -> self.post(() -> end(whole(who, run, text))));
                } else {
                    hop(() -> self.post(() -> end(Got.none(End.LOST, "circuit reset"))));
                }
            });
        }

        private Got whole(final SimOrigin who, final boolean run, final String text) {
            final byte[] body = text.getBytes(StandardCharsets.UTF_8);
            final Map<String, String> heads = new TreeMap<>();
            heads.put("content-type", "application/json");
            heads.put("content-length", String.valueOf(body.length));
            heads.put(AnswerCheck.STAMP, who.stamp());
            heads.put(AnswerCheck.REQUEST, what.id());
            heads.put(AnswerCheck.DIGEST, Hash.digest(body));
            if (who.fault().equals("wrong")) {
                body[body.length - 2] ^= 1;
            }
            final Got own = new Got(
                    End.WHOLE,
                    run ? 201 : 200,
                    heads,
                    body,
                    "",
                    run || who.make().slots() == 0 ? List.of() : List.of(Stock.tag(what.path())),
                    Load.NONE);
            return who.fault().equals("surplus") ? who.late(own) : own;
        }

        private void end(final Got got) {
            trips.remove(this);
            if (!over) {
                over = true;
                then.accept(got);
            }
        }

        @Override
        public void cut() {
            trips.remove(this);
            over = true;
        }
    }
}
