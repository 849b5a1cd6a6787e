package org.rowanvalve.testkit.sim;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.testkit.origin.StandInBackend;
import org.rowanvalve.testkit.scenario.Deployment;

/** A deployment's origins, and what happens to them as a group: addresses change hands, machines are replaced. */
public final class SimOrigins {
    /** How long an origin serves on that has said that it has ended. */
    private static final long BRIEF_MS = 10_000;

    private final SimCluster cluster;
    private final SimOriginTransport.OriginDirectory yard;
    private final SimOrigin.Word word;
    private final Map<String, SimOrigin> origins = new TreeMap<>();
    private final Map<String, StandInBackend> stocks = new TreeMap<>();

    SimOrigins(final SimCluster cluster, final SimOriginTransport.OriginDirectory yard) {
        this.cluster = cluster;
        this.yard = yard;
        final Deployment deployment = cluster.place();
        word = deployment.shieldRun() ? new SimOriginAnnouncements.Beating() : new SimOriginAnnouncements.Announced();
        int at = 0;
        for (final Deployment.Backend k : deployment.kin()) {
            final StandInBackend backend = stockOf(k);
            stocks.put(k.service(), backend);
            for (int i = 1; i <= k.origins(); i++) {
                add(make(k.service() + i, profile(k, i), backend, "127.1.0." + ++at));
            }
        }
    }

    private SimOrigin make(
            final String name, final SimOrigin.Make profile, final StandInBackend backend, final String host) {
        return new SimOrigin(cluster.world(), cluster.log(), name, profile, backend, host, cluster::controlNode, word);
    }

    private void add(final SimOrigin origin) {
        origins.put(origin.name(), origin);
        yard.move(origin.host(), origin);
    }

    /** A service that gets a part of another's objects has the same. */
    private StandInBackend stockOf(final Deployment.Backend backend) {
        return cluster.place().kin().stream()
                .filter(k -> !k.equals(backend)
                        && backend.trafficClasses().isEmpty()
                        && k.trafficClasses().stream()
                                .anyMatch(traffic -> traffic.split().containsKey(backend.service())))
                .findFirst()
                .map(k -> stocks.get(k.service()).twin(backend.service()))
                .orElseGet(() -> new StandInBackend(backend.service()));
    }

    private SimOrigin.Make profile(final Deployment.Backend backend, final int i) {
        final Deployment deployment = cluster.place();
        return !deployment.shieldRun()
                ? SimOrigin.Make.plain(backend.kind())
                : new SimOrigin.Make(
                        backend.kind(),
                        backend.rate() > 0 ? 32 : 4,
                        backend.rate() > 0 ? 30 : 60,
                        deployment.cells().get(i % deployment.cells().size()));
    }

    public Collection<SimOrigin> values() {
        return origins.values();
    }

    public SimOrigin get(final String name) {
        return origins.get(name);
    }

    public StandInBackend stock(final String service) {
        return stocks.get(service);
    }

    /** One more origin, of a service of its own. */
    public void start(final String name, final String service, final String kind) {
        final String host = "127.1.2." + (1 + cluster.world().serial() % 250);
        final SimOrigin origin =
                make(name, SimOrigin.Make.plain(kind), stocks.computeIfAbsent(service, StandInBackend::new), host);
        add(origin);
        origin.start();
    }

    /** A new machine takes an origin's place: it announces itself at another address, then the old one leaves. */
    public void replace(final String name, final long ms) {
        final SimOrigin old = origins.get(name);
        final String host = "127.1.1." + (1 + cluster.world().serial() % 250);
        final SimOrigin next = old.heir(host);
        cluster.trouble("origin-replace", name, ms);
        yard.move(host, next);
        next.start();
        origins.put(name, next);
        cluster.world().in(ms / 2, old::leave);
        cluster.world().in(ms / 2 + 3000, old::quit);
        startBriefly(old);
    }

    /** One more machine of the same service starts and is taken away again at once, before its first heartbeat arrives. */
    private void startBriefly(final SimOrigin model) {
        if (word.tells()) {
            final SimOrigin brief = model.heir("127.1.3." + (1 + cluster.world().serial() % 250));
            yard.move(brief.host(), brief);
            brief.startBriefly(BRIEF_MS);
        }
    }

    /** It ends in order, and its address goes to a new origin of another service. */
    public void reuse(final String name, final long ms) {
        final SimOrigin old = origins.get(name);
        final SimOrigin model = origins.values().stream()
                .filter(origin -> !origin.stock().service().equals(old.stock().service())
                        && origin.make().slots() == old.make().slots())
                .findFirst()
                .orElseThrow();
        cluster.trouble("origin-reuse", name, ms);
        old.leave();
        cluster.world().in(ms / 2, old::quit);
        cluster.world().in(ms / 2 + 2000, () -> lend(old, model.heir(old.host()), ms));
    }

    private void lend(final SimOrigin owner, final SimOrigin other, final long ms) {
        yard.move(owner.host(), other);
        other.start();
        cluster.world().in(ms, () -> {
            other.leave();
            cluster.world().in(3000, () -> {
                other.quit();
                cluster.world().in(2000, () -> takeBack(owner));
            });
        });
    }

    private void takeBack(final SimOrigin owner) {
        yard.move(owner.host(), owner);
        owner.start();
    }

    /** The origin dies without a word and its address answers as another service. */
    public void swap(final String name, final long ms) {
        final SimOrigin origin = origins.get(name);
        origin.kill();
        final SimOrigin other = new SimOrigin(
                cluster.world(),
                cluster.log(),
                "stranger",
                SimOrigin.Make.plain("content"),
                new StandInBackend("stranger"),
                origin.host(),
                () -> null,
                new SimOriginAnnouncements.Announced());
        other.start();
        yard.move(origin.host(), other);
        cluster.world().in(ms, () -> {
            other.kill();
            takeBack(origin);
        });
    }
}
