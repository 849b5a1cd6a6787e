package org.rowanvalve.testkit.sim;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.control.json.Json;

/** One update of an operator: items that are set and items that are dropped. A repeat keeps its {@code id}. */
record OperatorUpdate(long id, List<UpdateItem> items) {
    byte[] text() {
        final Map<String, Map<String, Object>> set = new TreeMap<>();
        final Map<String, Map<String, Object>> drop = new TreeMap<>();
        for (final UpdateItem item : items) {
            final String section = item.kind().label() + "s";
            if (item.drops()) {
                drop.computeIfAbsent(section, k -> new TreeMap<>()).put(item.name(), item.version());
            } else {
                final Map<String, Object> body = new TreeMap<>(item.body());
                body.put("version", item.version());
                set.computeIfAbsent(section, k -> new TreeMap<>()).put(item.name(), body);
            }
        }
        return Json.write(Map.of("set", set, "drop", drop)).getBytes(StandardCharsets.UTF_8);
    }
}
