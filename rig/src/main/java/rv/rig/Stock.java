package rv.rig;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import rv.base.Hash;
import rv.control.Json;

/** A stand-in's back end: objects with revisions, and bookings that must run once. Shared by its service's origins. */
public final class Stock {
    private final String service;
    private final Map<String, Long> revs = new TreeMap<>();
    private final Map<String, Long> runs = new HashMap<>();
    private long count;

    public Stock(final String service) {
        this.service = service;
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
        map.put("text", Long.toHexString(Hash.mix(path)).repeat(8));
        return Json.text(map);
    }

    public synchronized String run(final String path, final String key) {
        count++;
        runs.merge(key, 1L, Long::sum);
        return Json.text(Map.of("service", service, "path", path, "key", key, "number", count));
    }

    public synchronized long rev(final String path) {
        return revs.getOrDefault(path, 1L);
    }
}
