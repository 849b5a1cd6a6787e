package org.rowanvalve.server;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.rowanvalve.control.Json;

/** The operators' command: 0 done, 1 different, 2 usage or could not ask, 3 refused, 4 outcome unknown. */
public final class Ctl {
    private static final String USAGE = """
        rwctl [--at IP:PORT] [--json] COMMAND
          apply FILE              state a whole configuration
          get KIND [NAME]         KIND: services, routes, purges, origins, config
          put KIND NAME FILE      state one item (--version N replaces version N)
          delete KIND NAME        (--version N)
          purge ROUTE PATH        purge one object; a PATH ending in * purges by prefix
          status [NODE]           what the node believes
          ready                   wait until the node at --at is ready
          watch KIND NAME         follow an item until it is in force everywhere
          diff NODE NODE          what two nodes believe, where it differs (IP:PORT or node name)
          vouch NODE              the elector at --at takes its memory from NODE
        """;
    private final HttpClient http;
    private final String site;
    private final PrintStream out;
    private final PrintStream err;
    private final boolean json;

    record Got(int status, String text) {
        Map<?, ?> map() {
            return Json.read(text, Map.class);
        }
    }

    Ctl(final HttpClient http, final String site, final boolean json, final PrintStream out, final PrintStream err) {
        this.http = http;
        this.site = site;
        this.json = json;
        this.out = out;
        this.err = err;
    }

    public static void main(final String[] args) throws Exception {
        Main.quiet();
        System.exit(run(args, System.out, System.err));
    }

    public static int run(final String[] args, final PrintStream out, final PrintStream err) throws Exception {
        final OptionParser p = new OptionParser();
        p.accepts("at", "operators' address of any node").withRequiredArg().defaultsTo("127.0.0.1:8000");
        p.accepts("json", "print JSON");
        p.accepts("version", "the version to replace; without a value: print the program's version")
                .withOptionalArg()
                .ofType(Long.class);
        p.accepts("write-id", "names this write, so that it can be repeated").withRequiredArg();
        p.accepts("seconds", "how long watch follows")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(10L);
        p.accepts("help", "print this and end");
        final OptionSet set;
        try {
            set = p.parse(args);
        } catch (final OptionException e) {
            err.println("rwctl: " + e.getMessage());
            return 2;
        }
        if (set.has("version") && !set.hasArgument("version")) {
            out.println("rwctl " + Main.VERSION);
            return 0;
        }
        final List<String> words =
                set.nonOptionArguments().stream().map(String::valueOf).toList();
        if (set.has("help") || words.isEmpty()) {
            (set.has("help") ? out : err).println(USAGE);
            p.printHelpOn(set.has("help") ? out : err);
            return set.has("help") ? 0 : 2;
        }
        final HttpClient http = new HttpClient();
        http.setName("ctl");
        http.start();
        try {
            return new Ctl(http, (String) set.valueOf("at"), set.has("json"), out, err).go(words, set);
        } catch (final TimeoutException | ExecutionException | IOException e) {
            err.println("rwctl: could not ask: "
                    + (e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage()));
            return 2;
        } finally {
            http.stop();
        }
    }

    private int go(final List<String> w, final OptionSet set) throws Exception {
        final long ver = set.hasArgument("version") ? (Long) set.valueOf("version") : -1;
        final String id = set.has("write-id")
                ? (String) set.valueOf("write-id")
                : UUID.randomUUID().toString();
        final int n = w.size();
        return switch (w.get(0)) {
            case "apply" ->
                n == 2 ? show(ask("PUT", "config", Files.readAllBytes(Path.of(w.get(1))), -1, null)) : usage();
            case "get" ->
                n == 2 || n == 3 ? show(ask("GET", String.join("/", w.subList(1, n)), null, -1, null)) : usage();
            case "put" ->
                n == 4
                        ? show(ask("PUT", w.get(1) + "/" + w.get(2), Files.readAllBytes(Path.of(w.get(3))), ver, id))
                        : usage();
            case "delete" -> n == 3 ? show(ask("DELETE", w.get(1) + "/" + w.get(2), null, ver, id)) : usage();
            case "purge" -> n == 3 ? purge(w.get(1), w.get(2), id) : usage();
            case "status" ->
                n <= 2 ? show(ask("GET", "state" + (n == 2 ? "/" + w.get(1) : ""), null, -1, null)) : usage();
            case "watch" -> n == 3 ? watch(w.get(1) + "/" + w.get(2), (Long) set.valueOf("seconds")) : usage();
            case "ready" -> n == 1 ? ready((Long) set.valueOf("seconds")) : usage();
            case "diff" -> n == 3 ? diff(w.get(1), w.get(2)) : usage();
            case "vouch" -> n == 2 ? show(ask("POST", "elector/vouch?from=" + w.get(1), null, -1, null)) : usage();
            default -> usage();
        };
    }

    private int usage() {
        err.println(USAGE);
        return 2;
    }

    private Got ask(final String method, final String path, final byte[] body, final long ver, final String id)
            throws InterruptedException, ExecutionException, TimeoutException {
        return ask(site, method, path, body, ver, id);
    }

    private Got ask(
            final String at, final String method, final String path, final byte[] body, final long ver, final String id)
            throws InterruptedException, ExecutionException, TimeoutException {
        final Request r =
                http.newRequest("http://" + at + "/v1/" + path).method(method).timeout(30, TimeUnit.SECONDS);
        r.headers(h -> {
            if (ver >= 0) {
                h.put("If-Match", "\"" + ver + "\"");
            }
            if (id != null) {
                h.put("Rv-Write-Id", id);
            }
        });
        if (body != null) {
            r.body(new BytesRequestContent("application/json", body));
        }
        final ContentResponse got = r.send();
        return new Got(got.getStatus(), new String(got.getContent(), StandardCharsets.UTF_8));
    }

    private int show(final Got g) {
        if (json) {
            out.println(g.text().trim());
        } else {
            lines("", g.map());
        }
        return g.status() < 300 ? 0 : g.status() == 504 ? 4 : 3;
    }

    private void lines(final String at, final Object o) {
        if (o instanceof Map<?, ?> m && !m.isEmpty()) {
            m.forEach((k, v) -> lines(at.isEmpty() ? String.valueOf(k) : at + "." + k, v));
        } else if (o instanceof List<?> l) {
            for (int i = 0; i < l.size(); i++) {
                lines(at + "." + i, l.get(i));
            }
        } else if (!(o instanceof Map)) {
            out.println(at + " = " + o);
        }
    }

    private int purge(final String route, final String path, final String id) throws Exception {
        final boolean wide = path.endsWith("*");
        final String name = route + "-"
                + org.rowanvalve.common.Hash.digest(path.getBytes(StandardCharsets.UTF_8))
                        .substring(0, 16);
        final byte[] body = Json.text(Map.of(
                        "route", route, wide ? "prefix" : "path", wide ? path.substring(0, path.length() - 1) : path))
                .getBytes(StandardCharsets.UTF_8);
        Got g = new Got(409, "{\"version\":0}");
        for (int i = 0; i < 5 && g.status() == 409; i++) {
            g = ask("PUT", "purges/" + name, body, ((Number) g.map().get("version")).longValue(), id);
        }
        return show(g);
    }

    private int ready(final long seconds) throws InterruptedException {
        final long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        String last = "no answer";
        while (System.nanoTime() < end) {
            try {
                final Got g = ask("GET", "ready", null, -1, null);
                last = g.text().trim();
                if (g.status() == 200 && ((Number) g.map().get("grade")).intValue() >= 50) {
                    out.println(last);
                    return 0;
                }
            } catch (final ExecutionException | TimeoutException e) {
                last = String.valueOf(e.getMessage());
            }
            TimeUnit.MILLISECONDS.sleep(200);
        }
        err.println("rwctl: not ready: " + last);
        return 1;
    }

    private int watch(final String path, final long seconds) throws Exception {
        final long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        String last = "";
        while (System.nanoTime() < end) {
            final Got g = ask("GET", path, null, -1, null);
            final String now =
                    "version " + g.map().get("version") + " " + g.map().get("state");
            if (!now.equals(last)) {
                out.println(json ? g.text().trim() : now);
                last = now;
            }
            if ("in force".equals(g.map().get("state"))) {
                return 0;
            }
            TimeUnit.MILLISECONDS.sleep(200);
        }
        return 1;
    }

    private Got state(final String node) throws Exception {
        return node.contains(":")
                ? ask(node, "GET", "state", null, -1, null)
                : ask("GET", "state/" + node, null, -1, null);
    }

    private int diff(final String a, final String b) throws Exception {
        final Got one = state(a);
        final Got two = state(b);
        for (final Got g : List.of(one, two)) {
            if (g.status() != 200) {
                err.println("rwctl: could not ask: " + g.map().get("reason"));
                return 2;
            }
        }
        final List<Diff.Row> rows = Diff.of(one.map(), two.map());
        if (json) {
            out.println(Json.text(rows));
        } else {
            rows.forEach(r -> out.println(r.line()));
        }
        return rows.isEmpty() ? 0 : 1;
    }
}
