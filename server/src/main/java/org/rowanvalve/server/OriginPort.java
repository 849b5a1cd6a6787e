package org.rowanvalve.server;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.util.Promise;
import org.rowanvalve.common.Loop;
import org.rowanvalve.control.Json;
import org.rowanvalve.control.Origin;
import org.rowanvalve.data.Port;

/** Circuits to origins over Jetty's client. Core thread only, but for Jetty's call-backs, which post. */
public final class OriginPort implements Port {
    private static final int BODY = 4 << 20;
    private static final Set<String> READS = Set.of("GET", "HEAD");
    private final Loop loop;
    private final HttpClient http;
    private final Dialect dialect;
    private final IdleConnections idle = new IdleConnections();

    public record Who(String service, String stamp) {}

    public OriginPort(final Loop loop, final HttpClient http) {
        this(loop, http, new OwnDialect());
    }

    public OriginPort(final Loop loop, final HttpClient http, final Dialect dialect) {
        this.dialect = dialect;
        this.loop = loop;
        this.http = http;
    }

    @Override
    public Rope send(final Origin to, final Send what, final Gate gate, final Consumer<Got> then) {
        final Trip trip = new Trip(to, what, gate, then);
        trip.begin();
        return trip;
    }

    @Override
    public String fault(final Origin to, final Send sent, final Got got) {
        return dialect.fault(to, sent, got);
    }

    private final class Trip implements Rope {
        private final Origin to;
        private final Send what;
        private final Gate gate;
        private final Consumer<Got> then;
        private final String site;
        private final long cutoff;
        private Connection circuit;
        private boolean over;
        private boolean sent;
        private long sentAt;
        private long rest;

        Trip(final Origin to, final Send what, final Gate gate, final Consumer<Got> then) {
            this.gate = gate;
            this.to = to;
            this.what = what;
            this.then = then;
            this.site = to.host() + ":" + to.port() + "|" + to.service() + "|" + to.stamp();
            this.cutoff = loop.now() + Math.max(50, what.span());
        }

        void begin() {
            loop.after(
                    Math.max(50, what.span()),
                    () -> end(Got.none(sent ? End.LOST : End.NOT_SENT, "no answer in time"), false));
            final IdleConnections.Rested used = idle.take(site, to.service(), repeatable(), loop.now());
            if (used != null) {
                circuit = used.connection();
                rest = used.rest();
                go();
                return;
            }
            if (!http.isStarted()) {
                loop.post(() -> end(Got.none(End.NOT_SENT, "the client is not started yet"), false));
                return;
            }
            final Destination d = http.resolveDestination(ask("GET", "/"));
            d.newConnection(Promise.from(
                    c -> loop.post(() -> opened(c)),
                    e -> loop.post(() -> end(Got.none(End.NOT_SENT, "no circuit: " + e.getMessage()), false))));
        }

        /** A read without a key may be sent again elsewhere; of all else it must be known whether it ran. */
        private boolean repeatable() {
            return what.key() == null && READS.contains(what.method());
        }

        /** A target that is no URI by the letter goes out as it came. */
        private Request ask(final String method, final String path) {
            try {
                return http.newRequest(URI.create("http://" + to.host() + ":" + to.port() + path))
                        .method(method);
            } catch (final IllegalArgumentException e) {
                return http.newRequest(to.host(), to.port()).path(path).method(method);
            }
        }

        private void opened(final Connection c) {
            circuit = c;
            if (over) {
                c.close();
                return;
            }
            if (!dialect.introduces()) {
                go();
                return;
            }
            c.send(ask("GET", "/rv/identity"), new BufferingResponseListener(8192) {
                @Override
                public void onComplete(final Result r) {
                    final int status = r.isSucceeded() ? r.getResponse().getStatus() : 0;
                    final String text = getContentAsString(StandardCharsets.UTF_8);
                    loop.post(() -> known(status, text));
                }
            });
        }

        private void known(final int status, final String text) {
            if (over) {
                circuit.close();
                return;
            }
            Who who = null;
            try {
                who = status == 200 && text != null ? Json.read(text, Who.class) : null;
            } catch (final IllegalStateException e) {
                who = null;
            }
            if (who == null) {
                end(Got.none(End.NOT_SENT, "identity status " + status), false);
            } else if (!to.service().equals(who.service()) || !to.stamp().equals(who.stamp())) {
                end(Got.none(End.STRANGE, "identity " + who), false);
            } else if (loop.now() >= cutoff) {
                end(Got.none(End.NOT_SENT, "too late to send"), true);
            } else {
                go();
            }
        }

        private void go() {
            final Request r = ask(what.method(), what.path());
            r.headers(h -> dialect.heads(to, what, h::put));
            if (what.body() != null && what.body().length > 0) {
                r.body(new BytesRequestContent(what.type() == null ? "application/json" : what.type(), what.body()));
            }
            if (!gate.open()) {
                end(Got.none(End.BARRED, "the right to send ended before the bytes left"), true);
                return;
            }
            sent = true;
            sentAt = loop.now();
            circuit.send(r, new BufferingResponseListener(BODY) {
                @Override
                public void onComplete(final Result res) {
                    final byte[] body = getContent() == null ? new byte[0] : getContent();
                    final Got got = res.isSucceeded()
                            ? whole(res, body)
                            : Got.none(End.LOST, String.valueOf(res.getFailure().getMessage()));
                    loop.post(() -> answered(got, res.isSucceeded()));
                }
            });
        }

        private void answered(final Got got, final boolean whole) {
            if (!over && !whole) {
                idle.lost(to.service(), rest, loop.now() - sentAt, loop.now());
            }
            end(got, whole && got.end() != End.BAD);
        }

        /** What cannot be told to be this request's whole answer is none, and its connection is not used again. */
        private Got whole(final Result res, final byte[] body) {
            final Map<String, String> heads = new TreeMap<>();
            for (final HttpField f : res.getResponse().getHeaders()) {
                heads.put(f.getLowerCaseName(), f.getValue());
            }
            final int status = res.getResponse().getStatus();
            if (status < HttpStatus.OK_200) {
                return Got.none(End.BAD, "status " + status + " as the last answer");
            }
            final Got got = dialect.read(to, what, status, heads, body);
            final String fault = got.end() == End.WHOLE ? dialect.fault(to, what, got) : "";
            return fault.isEmpty() ? got : Got.none(End.BAD, fault);
        }

        private void end(final Got got, final boolean reuse) {
            if (over) {
                return;
            }
            over = true;
            if (circuit != null) {
                if (reuse
                        && !circuit.isClosed()
                        && !"close".equalsIgnoreCase(got.heads().get("connection"))) {
                    idle.put(site, circuit, got.heads().get("keep-alive"), loop.now());
                } else {
                    circuit.close();
                }
            }
            then.accept(got);
        }

        @Override
        public void cut() {
            if (!over) {
                over = true;
                if (circuit != null) {
                    circuit.close();
                }
            }
        }
    }
}
