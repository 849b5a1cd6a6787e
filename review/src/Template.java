import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Fills the project's settings template from the platform's fields, as DEPLOY.md describes. */
final class Template {
    private static final Pattern GAP = Pattern.compile("\\{\\{([#^]?)([^}]*)}}");

    private Template() {}

    static String fill(final String text, final Map<String, Object> fields) {
        return fill(text, fields, null, null, false);
    }

    private static String fill(
            final String text, final Map<String, Object> fields, final Object entry, final Object key, final boolean last) {
        final StringBuilder out = new StringBuilder();
        int at = 0;
        final Matcher matcher = GAP.matcher(text);
        while (matcher.find(at)) {
            out.append(text, at, matcher.start());
            at = matcher.end();
            final String name = matcher.group(2);
            if (matcher.group(1).isEmpty()) {
                out.append(value(name, fields, entry, key, last));
                continue;
            }
            final String close = "{{/" + name + "}}";
            final int end = text.indexOf(close, at);
            final String inner = text.substring(at, end);
            at = end + close.length();
            final Object value = find(name, fields, entry);
            final boolean given = value != null && !Boolean.FALSE.equals(value);
            if (matcher.group(1).equals("^")) {
                out.append(given ? "" : fill(inner, fields, entry, key, last));
            } else if (value instanceof Map<?, ?> map) {
                final List<?> keys = new ArrayList<>(map.keySet());
                for (int i = 0; i < keys.size(); i++) {
                    out.append(fill(inner, fields, map.get(keys.get(i)), keys.get(i), i + 1 == keys.size()));
                }
            } else if (value instanceof List<?> list) {
                for (int i = 0; i < list.size(); i++) {
                    out.append(fill(inner, fields, list.get(i), i, i + 1 == list.size()));
                }
            } else if (given) {
                out.append(fill(inner, fields, entry, key, last));
            }
        }
        return out.append(text.substring(at)).toString();
    }

    private static String value(
            final String name, final Map<String, Object> fields, final Object entry, final Object key, final boolean last) {
        if (name.equals(",")) {
            return last ? "" : ",";
        }
        if (name.equals("@")) {
            return String.valueOf(key);
        }
        final int bar = name.indexOf('|');
        final Object value = find(bar < 0 ? name : name.substring(0, bar), fields, entry);
        return bar >= 0 ? json(value) : value == null ? "" : String.valueOf(value);
    }

    private static Object find(final String name, final Map<String, Object> fields, final Object entry) {
        if (name.equals(".")) {
            return entry;
        }
        Object now = fields;
        for (final String part : name.split("\\.")) {
            now = now instanceof Map<?, ?> map
                    ? map.get(part)
                    : now instanceof List<?> list ? list.get(Integer.parseInt(part)) : null;
        }
        return now;
    }

    private static String json(final Object value) {
        if (value instanceof List<?> list) {
            return "[" + String.join(",", list.stream().map(Template::json).toList()) + "]";
        }
        return value instanceof String ? "\"" + value + "\"" : String.valueOf(value);
    }
}
