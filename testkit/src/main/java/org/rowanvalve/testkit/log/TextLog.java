package org.rowanvalve.testkit.log;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.rowanvalve.common.event.EventCode;

/** Reads the text log of a process into the rows that its JSON log would have. Lines that are no events are passed over. */
final class TextLog {
    private static final Pattern EVENT = Pattern.compile("(\\S+Z) [A-Z]+ (RV\\d+) [^{]*(?:\\{(.*)\\})?");
    private static final Pattern BETWEEN_FACTS = Pattern.compile(", (?=\\w+=)");
    private static final Pattern WHOLE_NUMBER = Pattern.compile("0|-?[1-9]\\d{0,17}");
    private static final Map<String, EventCode> CODES =
            Arrays.stream(EventCode.values()).collect(Collectors.toMap(EventCode::id, Function.identity()));

    private final List<Map<String, Object>> rows = new ArrayList<>();
    private String node;

    private TextLog(final String node) {
        this.node = node;
    }

    /** {@code file}: names the node until the log itself does. */
    static List<Map<String, Object>> rows(final String file, final List<String> lines) {
        final TextLog log = new TextLog(file);
        lines.forEach(log::read);
        return log.rows;
    }

    private void read(final String line) {
        final Matcher matcher = EVENT.matcher(line);
        if (!matcher.matches() || !CODES.containsKey(matcher.group(2))) {
            return;
        }
        final EventCode code = CODES.get(matcher.group(2));
        final Map<String, String> facts = facts(matcher.group(3));
        if (code == EventCode.STARTED) {
            node = facts.getOrDefault("node", node);
        }
        final Map<String, Object> row = RunLog.row(
                "t",
                Instant.parse(matcher.group(1)).toEpochMilli(),
                "node",
                node,
                "code",
                code.id(),
                "name",
                code.name());
        facts.forEach((fact, value) -> row.put(row.containsKey(fact) ? "peer" : fact, typed(value)));
        rows.add(row);
    }

    private static Object typed(final String value) {
        return WHOLE_NUMBER.matcher(value).matches() ? Long.valueOf(value) : value;
    }

    private static Map<String, String> facts(final String text) {
        final Map<String, String> facts = new LinkedHashMap<>();
        if (text != null && !text.isEmpty()) {
            for (final String fact : BETWEEN_FACTS.split(text)) {
                final int equals = fact.indexOf('=');
                if (equals > 0) {
                    facts.put(fact.substring(0, equals), fact.substring(equals + 1));
                }
            }
        }
        return facts;
    }
}
