package org.rowanvalve.testkit.scenario;

import java.util.Map;
import org.rowanvalve.testkit.log.RunLog;

/**
 * One request of a client to one edge, and its row of the log.
 *
 * @param key the key of a request that may run once, or null
 * @param attempt 1 for the first; a client may repeat a request
 * @param edge the name of the edge, or null where none was up
 * @param startedAt milliseconds on the clock of the log
 * @param id unique among the requests of its client
 */
public record ClientCall(
        Deployment.TrafficClass traffic, String path, String key, int attempt, String edge, long startedAt, long id) {
    private static final String NO_FATE = "none";

    /** The row of the log for a client that left before it had an answer. */
    public Map<String, Object> leftRow(final long leftAt, final String attemptId) {
        final Map<String, Object> row = row(leftAt, null, attemptId);
        row.put("left", leftAt);
        return row;
    }

    /**
     * The row of the log.
     *
     * @param answer null where none came
     * @param attemptId the name of the attempt on the wire, or null where it has none
     */
    public Map<String, Object> row(final long endedAt, final ClientAnswer answer, final String attemptId) {
        final boolean done = answer != null && answer.isDone();
        final Map<?, ?> content = answer == null ? Map.of() : answer.content();
        return RunLog.row(
                "log",
                "req",
                "t",
                startedAt,
                "end",
                endedAt,
                "id",
                id,
                "node",
                edge,
                "route",
                traffic.route(),
                "mode",
                traffic.mode(),
                "life",
                traffic.lifetimeMs(),
                "path",
                path,
                "key",
                key,
                "turn",
                attempt,
                "attempt",
                attemptId,
                "status",
                answer == null ? 0 : answer.status(),
                "fate",
                answer == null ? NO_FATE : answer.fate(),
                "stamp",
                answer == null ? null : answer.stamp(),
                "request",
                answer == null ? null : answer.requestId(),
                "whole",
                answer == null ? null : answer.isWhole(),
                "why",
                answer == null || done ? null : answer.text(),
                "said",
                content.get("path"),
                "saidKey",
                content.get("key"),
                "rev",
                content.get("rev"));
    }
}
