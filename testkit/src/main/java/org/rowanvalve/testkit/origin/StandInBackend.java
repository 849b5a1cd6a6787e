package org.rowanvalve.testkit.origin;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.rowanvalve.common.model.Hash;
import org.rowanvalve.control.json.Json;

/**
 * A stand-in's back end: objects with revisions, and bookings that must be executed once. Shared by its service's
 * origins.
 */
public final class StandInBackend {
    private final String service;
    private final Map<String, Long> revs;
    private final Map<String, Long> runs = new HashMap<>();
    private long count;

    public StandInBackend(final String service) {
        this(service, new TreeMap<>());
    }

    private StandInBackend(final String service, final Map<String, Long> revs) {
        this.service = service;
        this.revs = revs;
    }

    /** The same objects behind another service. */
    public StandInBackend twin(final String other) {
        return new StandInBackend(other, revs);
    }

    /** The name under which an object may be purged together with others. */
    public static String tag(final String path) {
        return "t" + Long.remainderUnsigned(Hash.hash64("tag of " + path), 12) + path.substring(1, 3);
    }

    public String service() {
        return service;
    }

    public synchronized long change(final String path) {
        return revs.merge(path, 2L, (a, b) -> a + 1);
    }

    public synchronized String view(final String path) {
        final Map<String, Object> map = new LinkedHashMap<>();
        map.put("service", service);
        map.put("path", path);
        map.put("rev", revs.getOrDefault(path, 1L));
        map.put("text", Long.toHexString(Hash.hash64(path)).repeat(8));
        return Json.write(map);
    }

    public synchronized String run(final String path, final String key) {
        count++;
        runs.merge(key, 1L, Long::sum);
        return Json.write(
                key == null
                        ? Map.of("service", service, "path", path, "number", count)
                        : Map.of("service", service, "path", path, "key", key, "number", count));
    }

    public synchronized long rev(final String path) {
        return revs.getOrDefault(path, 1L);
    }
}
