package org.rowanvalve.server.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import org.rowanvalve.common.model.FencingToken;

/** Compares the states of two nodes: each difference, the node with the newer state, and whether it is lag or a contradiction. */
public final class NodeDiff {
    /** A difference between the states of two nodes. */
    public record Difference(String what, String left, String right, String newer, String kind) {
        public String line() {
            return what + ": " + left + " | " + right + "  (" + kind + (newer.isEmpty() ? "" : ", newer: " + newer)
                    + ")";
        }
    }

    private final List<Difference> rows = new ArrayList<>();
    private final Map<?, ?> leftState;
    private final Map<?, ?> rightState;
    private final String left;
    private final String right;

    private NodeDiff(final Map<?, ?> leftState, final Map<?, ?> rightState) {
        this.leftState = leftState;
        this.rightState = rightState;
        left = String.valueOf(leftState.get("node"));
        right = String.valueOf(rightState.get("node"));
    }

    /** Compares the status reports of two nodes. */
    public static List<Difference> of(final Map<?, ?> leftState, final Map<?, ?> rightState) {
        final NodeDiff diff = new NodeDiff(leftState, rightState);
        diff.members();
        diff.items();
        diff.compareNumber("planEpoch", "plan epoch");
        diff.plan();
        diff.leases();
        diff.origins();
        diff.ages();
        return diff.rows;
    }

    private static Map<?, ?> section(final Map<?, ?> state, final String name) {
        return state.get(name) instanceof Map<?, ?> section ? section : Map.of();
    }

    private Set<String> namesIn(final String name) {
        final Set<String> set = new TreeSet<>();
        section(leftState, name).keySet().forEach(k -> set.add(String.valueOf(k)));
        section(rightState, name).keySet().forEach(k -> set.add(String.valueOf(k)));
        return set;
    }

    private void members() {
        for (final String name : namesIn("members")) {
            final Object leftValue = section(leftState, "members").get(name);
            final Object rightValue = section(rightState, "members").get(name);
            if (!Objects.equals(leftValue, rightValue)) {
                rows.add(new Difference("member " + name, display(leftValue), display(rightValue), "", "lag"));
            }
        }
    }

    private static String display(final Object value) {
        return value == null ? "unknown" : String.valueOf(value);
    }

    private void items() {
        for (final String name : namesIn("items")) {
            compare(
                    "item " + name,
                    section(leftState, "items").get(name),
                    section(rightState, "items").get(name));
        }
    }

    private void compareNumber(final String name, final String what) {
        compare(what, leftState.get(name), rightState.get(name));
    }

    private void compare(final String what, final Object leftValue, final Object rightValue) {
        final long leftNumber = leftValue instanceof Number number ? number.longValue() : 0;
        final long rightNumber = rightValue instanceof Number number ? number.longValue() : 0;
        if (leftNumber != rightNumber) {
            rows.add(new Difference(
                    what,
                    String.valueOf(leftNumber),
                    String.valueOf(rightNumber),
                    leftNumber > rightNumber ? left : right,
                    "lag"));
        }
    }

    private void plan() {
        final boolean same = Objects.equals(leftState.get("planEpoch"), rightState.get("planEpoch"));
        for (final String name : namesIn("plan")) {
            final Object leftValue = section(leftState, "plan").get(name);
            final Object rightValue = section(rightState, "plan").get(name);
            if (!Objects.equals(leftValue, rightValue)) {
                rows.add(new Difference(
                        "plan shard " + name,
                        display(leftValue),
                        display(rightValue),
                        same ? "" : newer(leftState.get("planEpoch"), rightState.get("planEpoch")),
                        same ? "contradiction" : "lag"));
            }
        }
    }

    private String newer(final Object leftValue, final Object rightValue) {
        return ((Number) leftValue).longValue() > ((Number) rightValue).longValue() ? left : right;
    }

    private void leases() {
        for (final String name : namesIn("leases")) {
            final String leftValue = display(section(leftState, "leases").get(name));
            final String rightValue = display(section(rightState, "leases").get(name));
            if (leftValue.startsWith("HELD") && rightValue.startsWith("HELD")) {
                final boolean rightIsOlder =
                        FencingToken.parse(rightValue.substring(5)).isBelow(FencingToken.parse(leftValue.substring(5)));
                rows.add(new Difference(
                        "lease of shard " + name, leftValue, rightValue, rightIsOlder ? left : right, "contradiction"));
            }
        }
    }

    private void origins() {
        for (final String name : namesIn("origins")) {
            final Object leftValue = section(leftState, "origins").get(name);
            final Object rightValue = section(rightState, "origins").get(name);
            if (!Objects.equals(leftValue, rightValue)) {
                rows.add(new Difference("origin " + name, display(leftValue), display(rightValue), "", "lag"));
            }
        }
    }

    private void ages() {
        final long leftValue = ((Number) leftState.get("frameAgeMs")).longValue();
        final long rightValue = ((Number) rightState.get("frameAgeMs")).longValue();
        if (leftValue < 0 != rightValue < 0) {
            rows.add(new Difference(
                    "frame age",
                    leftValue < 0 ? "not confirmed" : leftValue + " ms",
                    rightValue < 0 ? "not confirmed" : rightValue + " ms",
                    leftValue < 0 ? right : left,
                    "lag"));
        }
    }
}
