package org.rowanvalve.testkit.sim;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.control.json.Json;

/**
 * One update of an operator: items that are set and items that are dropped, some of them more than once under several
 * versions. A repeat keeps its {@code id}.
 */
record OperatorUpdate(long id, List<UpdateItem> items) {
    byte[] text() {
        final Map<String, Map<String, List<Object>>> set = new TreeMap<>();
        final Map<String, Map<String, List<Object>>> drop = new TreeMap<>();
        for (final UpdateItem item : items) {
            (item.drops() ? drop : set)
                    .computeIfAbsent(item.kind().label() + "s", section -> new TreeMap<>())
                    .computeIfAbsent(item.name(), name -> new ArrayList<>())
                    .add(statement(item));
        }
        return Json.write(Map.of("set", set, "drop", drop)).getBytes(StandardCharsets.UTF_8);
    }

    private static Object statement(final UpdateItem item) {
        if (item.drops()) {
            return item.version();
        }
        final Map<String, Object> body = new TreeMap<>(item.body());
        body.put("version", item.version());
        return body;
    }
}
