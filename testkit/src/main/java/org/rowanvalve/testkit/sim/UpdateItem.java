package org.rowanvalve.testkit.sim;

import java.util.Map;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.testkit.log.RunLog;

/** One item of an operator's update; a {@code body} of null drops it. {@code facts} are logged with it. */
record UpdateItem(ItemKind kind, String name, long version, Map<String, Object> body, Map<String, Object> facts) {
    String id() {
        return kind.code() + "/" + name;
    }

    boolean drops() {
        return body == null;
    }

    /** How the judge names it: item, version and what its body is known by. */
    String mark() {
        return id() + "|" + version + "|" + (drops() ? "gone" : body.get("note"));
    }

    Map<String, Object> row(final String what, final long t, final long end, final int status) {
        final Map<String, Object> row = RunLog.row(
                "log",
                "op",
                "t",
                t,
                "end",
                end,
                "what",
                what,
                "item",
                id(),
                "version",
                version,
                "gone",
                drops(),
                "note",
                drops() ? null : body.get("note"),
                "status",
                status);
        row.putAll(facts);
        return row;
    }
}
