package org.rowanvalve.data;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The headers of an origin's answer that go on to the caller. */
final class EndToEndHeaders {
    /** Headers that concern one connection, or that say what another member says already. */
    private static final Set<String> HOPS = Set.of(
            "connection",
            "keep-alive",
            "transfer-encoding",
            "content-length",
            "te",
            "trailer",
            "upgrade",
            "proxy-connection",
            "date",
            "server",
            AnswerCheck.SERVICE);

    private EndToEndHeaders() {}

    static Map<String, String> of(final Map<String, String> heads) {
        final Map<String, String> map = new TreeMap<>(heads);
        map.keySet().removeAll(HOPS);
        return map;
    }
}
