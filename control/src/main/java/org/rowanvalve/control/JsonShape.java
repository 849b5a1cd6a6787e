package org.rowanvalve.control;

import java.math.BigDecimal;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.rowanvalve.common.Finding;

/** Reads one object's members, noting what is missing, of the wrong type, out of range or unknown. */
public final class JsonShape {
    private final Map<?, ?> map;
    private final String path;
    private final List<Finding> faults;
    private final Set<String> known = new HashSet<>();

    public JsonShape(final Object o, final String path, final List<Finding> faults) {
        this.path = path;
        this.faults = faults;
        if (o instanceof Map<?, ?> m) {
            map = m;
        } else {
            map = Map.of();
            fault("", "an object is wanted here");
        }
    }

    public void fault(final String name, final String text) {
        faults.add(new Finding(name.isEmpty() ? path.isEmpty() ? "/" : path : path + "/" + name, text));
    }

    private Object get(final String name, final boolean must) {
        known.add(name);
        final Object o = map.get(name);
        if (o == null && (must || map.containsKey(name))) {
            fault(name, map.containsKey(name) ? "must not be null" : "missing");
        }
        return o;
    }

    public String text(final String name, final boolean must, final String other) {
        final Object o = get(name, must);
        if (o == null) {
            return other;
        }
        if (o instanceof String s) {
            return s;
        }
        fault(name, "a text is wanted here");
        return other;
    }

    public String word(final String name, final Set<String> words) {
        final String s = text(name, true, "");
        if (!s.isEmpty() && !words.contains(s)) {
            fault(name, "must be one of " + words.stream().sorted().toList());
        }
        return s;
    }

    public boolean flag(final String name, final boolean other) {
        final Object o = get(name, false);
        if (o == null || o instanceof Boolean) {
            return o == null ? other : (Boolean) o;
        }
        fault(name, "true or false is wanted here");
        return other;
    }

    public BigDecimal number(final String name, final boolean must, final long other, final long low, final long high) {
        final Object o = get(name, must);
        final BigDecimal base = BigDecimal.valueOf(other);
        if (o == null) {
            return base;
        }
        if (!(o instanceof BigDecimal n)) {
            fault(name, "a number is wanted here");
            return base;
        }
        if (n.compareTo(BigDecimal.valueOf(low)) < 0 || n.compareTo(BigDecimal.valueOf(high)) > 0) {
            fault(name, "must be from " + low + " to " + high);
            return base;
        }
        return n;
    }

    public long whole(final String name, final boolean must, final long other, final long low, final long high) {
        final BigDecimal n = number(name, must, other, low, high);
        if (n.stripTrailingZeros().scale() > 0) {
            fault(name, "a whole number is wanted here");
            return other;
        }
        return n.longValue();
    }

    public Map<?, ?> part(final String name) {
        final Object o = get(name, false);
        if (o == null) {
            return Map.of();
        }
        if (o instanceof Map<?, ?> m) {
            return m;
        }
        fault(name, "an object is wanted here");
        return Map.of();
    }

    public List<?> list(final String name) {
        final Object o = get(name, false);
        if (o == null || o instanceof List<?>) {
            return o == null ? List.of() : (List<?>) o;
        }
        fault(name, "a list is wanted here");
        return List.of();
    }

    public String place(final String name) {
        return path + "/" + name;
    }

    public List<Finding> faults() {
        return faults;
    }

    public void known(final String name) {
        known.add(name);
    }

    public void end() {
        map.keySet().stream()
                .map(String::valueOf)
                .filter(k -> !known.contains(k))
                .forEach(k -> fault(k, "unknown member"));
    }
}
