package org.rowanvalve.server.cli;

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
import org.rowanvalve.control.json.Json;
import org.rowanvalve.server.process.Main;

/**
 * The operators' command. Exit status: 0 success, 1 a difference or an unmet wait, 2 usage error or no connection,
 * 3 rejected, 4 outcome unknown.
 */
public final class ControlCommand {
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
    /** A purge is repeated with the current version after a version conflict. */
    private static final int MAX_PURGE_ATTEMPTS = 5;

    private static final long REQUEST_TIMEOUT_SECONDS = 30;
    private static final long POLL_INTERVAL_MS = 200;
    private static final int MIN_READY_GRADE = 50;

    private final HttpClient http;
    private final String address;
    private final PrintStream out;
    private final PrintStream err;
    private final boolean json;

    record ApiResponse(int status, String text) {
        Map<?, ?> members() {
            return Json.read(text, Map.class);
        }
    }

    ControlCommand(
            final HttpClient http,
            final String address,
            final boolean json,
            final PrintStream out,
            final PrintStream err) {
        this.http = http;
        this.address = address;
        this.json = json;
        this.out = out;
        this.err = err;
    }

    public static void main(final String[] args) throws Exception {
        Main.configureLogging();
        System.exit(run(args, System.out, System.err));
    }

    /** Runs one command and returns its exit status. */
    public static int run(final String[] args, final PrintStream out, final PrintStream err) throws Exception {
        final OptionParser parser = new OptionParser();
        parser.accepts("at", "operators' address of any node").withRequiredArg().defaultsTo("127.0.0.1:8000");
        parser.accepts("json", "print JSON");
        parser.accepts("version", "the version to replace; without a value: print the program's version")
                .withOptionalArg()
                .ofType(Long.class);
        parser.accepts("write-id", "names this write, so that it can be repeated")
                .withRequiredArg();
        parser.accepts("seconds", "how long watch follows")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(10L);
        parser.accepts("help", "print this and end");
        final OptionSet options;
        try {
            options = parser.parse(args);
        } catch (final OptionException e) {
            err.println("rwctl: " + e.getMessage());
            return 2;
        }
        if (options.has("version") && !options.hasArgument("version")) {
            out.println("rwctl " + Main.VERSION);
            return 0;
        }
        final List<String> words =
                options.nonOptionArguments().stream().map(String::valueOf).toList();
        if (options.has("help") || words.isEmpty()) {
            (options.has("help") ? out : err).println(USAGE);
            parser.printHelpOn(options.has("help") ? out : err);
            return options.has("help") ? 0 : 2;
        }
        final HttpClient http = new HttpClient();
        http.setName("ctl");
        http.start();
        try {
            return new ControlCommand(http, (String) options.valueOf("at"), options.has("json"), out, err)
                    .execute(words, options);
        } catch (final TimeoutException | ExecutionException | IOException e) {
            err.println("rwctl: could not ask: "
                    + (e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage()));
            return 2;
        } finally {
            http.stop();
        }
    }

    private int execute(final List<String> words, final OptionSet options) throws Exception {
        final long version = options.hasArgument("version") ? (Long) options.valueOf("version") : -1;
        final String operationId = options.has("write-id")
                ? (String) options.valueOf("write-id")
                : UUID.randomUUID().toString();
        final int count = words.size();
        return switch (words.get(0)) {
            case "apply" ->
                count == 2
                        ? printResponse(request("PUT", "config", Files.readAllBytes(Path.of(words.get(1))), -1, null))
                        : usage();
            case "get" ->
                count == 2 || count == 3
                        ? printResponse(request("GET", String.join("/", words.subList(1, count)), null, -1, null))
                        : usage();
            case "put" ->
                count == 4
                        ? printResponse(request(
                                "PUT",
                                words.get(1) + "/" + words.get(2),
                                Files.readAllBytes(Path.of(words.get(3))),
                                version,
                                operationId))
                        : usage();
            case "delete" ->
                count == 3
                        ? printResponse(
                                request("DELETE", words.get(1) + "/" + words.get(2), null, version, operationId))
                        : usage();
            case "purge" -> count == 3 ? purge(words.get(1), words.get(2), operationId) : usage();
            case "status" ->
                count <= 2
                        ? printResponse(
                                request("GET", "state" + (count == 2 ? "/" + words.get(1) : ""), null, -1, null))
                        : usage();
            case "watch" ->
                count == 3 ? watchItem(words.get(1) + "/" + words.get(2), (Long) options.valueOf("seconds")) : usage();
            case "ready" -> count == 1 ? awaitReady((Long) options.valueOf("seconds")) : usage();
            case "diff" -> count == 3 ? printDifferences(words.get(1), words.get(2)) : usage();
            case "vouch" ->
                count == 2
                        ? printResponse(request("POST", "elector/vouch?from=" + words.get(1), null, -1, null))
                        : usage();
            default -> usage();
        };
    }

    private int usage() {
        err.println(USAGE);
        return 2;
    }

    private ApiResponse request(
            final String method, final String path, final byte[] body, final long version, final String operationId)
            throws InterruptedException, ExecutionException, TimeoutException {
        return request(address, method, path, body, version, operationId);
    }

    private ApiResponse request(
            final String address,
            final String method,
            final String path,
            final byte[] body,
            final long version,
            final String operationId)
            throws InterruptedException, ExecutionException, TimeoutException {
        final Request request = http.newRequest("http://" + address + "/v1/" + path)
                .method(method)
                .timeout(REQUEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        request.headers(headers -> {
            if (version >= 0) {
                headers.put("If-Match", "\"" + version + "\"");
            }
            if (operationId != null) {
                headers.put("Rv-Write-Id", operationId);
            }
        });
        if (body != null) {
            request.body(new BytesRequestContent("application/json", body));
        }
        final ContentResponse response = request.send();
        return new ApiResponse(response.getStatus(), new String(response.getContent(), StandardCharsets.UTF_8));
    }

    private int printResponse(final ApiResponse response) {
        if (json) {
            out.println(response.text().trim());
        } else {
            printLines("", response.members());
        }
        return response.status() < 300 ? 0 : response.status() == 504 ? 4 : 3;
    }

    private void printLines(final String address, final Object value) {
        if (value instanceof Map<?, ?> members && !members.isEmpty()) {
            members.forEach((key, v) -> printLines(address.isEmpty() ? String.valueOf(key) : address + "." + key, v));
        } else if (value instanceof List<?> list) {
            for (int i = 0; i < list.size(); i++) {
                printLines(address + "." + i, list.get(i));
            }
        } else if (!(value instanceof Map)) {
            out.println(address + " = " + value);
        }
    }

    private int purge(final String route, final String path, final String operationId) throws Exception {
        final boolean byPrefix = path.endsWith("*");
        final String name = route + "-"
                + org.rowanvalve.common.model.Hash.sha256Hex(path.getBytes(StandardCharsets.UTF_8))
                        .substring(0, 16);
        final byte[] body = Json.write(Map.of(
                        "route",
                        route,
                        byPrefix ? "prefix" : "path",
                        byPrefix ? path.substring(0, path.length() - 1) : path))
                .getBytes(StandardCharsets.UTF_8);
        ApiResponse response = new ApiResponse(409, "{\"version\":0}");
        for (int i = 0; i < MAX_PURGE_ATTEMPTS && response.status() == 409; i++) {
            response = request(
                    "PUT",
                    "purges/" + name,
                    body,
                    ((Number) response.members().get("version")).longValue(),
                    operationId);
        }
        return printResponse(response);
    }

    private int awaitReady(final long seconds) throws InterruptedException {
        final long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        String last = "no answer";
        while (System.nanoTime() < end) {
            try {
                final ApiResponse response = request("GET", "ready", null, -1, null);
                last = response.text().trim();
                if (response.status() == 200
                        && ((Number) response.members().get("grade")).intValue() >= MIN_READY_GRADE) {
                    out.println(last);
                    return 0;
                }
            } catch (final ExecutionException | TimeoutException e) {
                last = String.valueOf(e.getMessage());
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
        err.println("rwctl: not ready: " + last);
        return 1;
    }

    private int watchItem(final String path, final long seconds) throws Exception {
        final long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        String last = "";
        while (System.nanoTime() < end) {
            final ApiResponse response = request("GET", path, null, -1, null);
            final String now = "version " + response.members().get("version") + " "
                    + response.members().get("state");
            if (!now.equals(last)) {
                out.println(json ? response.text().trim() : now);
                last = now;
            }
            if ("in force".equals(response.members().get("state"))) {
                return 0;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
        return 1;
    }

    private ApiResponse nodeState(final String node) throws Exception {
        return node.contains(":")
                ? request(node, "GET", "state", null, -1, null)
                : request("GET", "state/" + node, null, -1, null);
    }

    private int printDifferences(final String left, final String right) throws Exception {
        final ApiResponse leftState = nodeState(left);
        final ApiResponse rightState = nodeState(right);
        for (final ApiResponse response : List.of(leftState, rightState)) {
            if (response.status() != 200) {
                err.println("rwctl: could not ask: " + response.members().get("reason"));
                return 2;
            }
        }
        final List<NodeDiff.Difference> differences = NodeDiff.of(leftState.members(), rightState.members());
        if (json) {
            out.println(Json.write(differences));
        } else {
            differences.forEach(difference -> out.println(difference.line()));
        }
        return differences.isEmpty() ? 0 : 1;
    }
}
