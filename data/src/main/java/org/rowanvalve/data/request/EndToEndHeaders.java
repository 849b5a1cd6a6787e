package org.rowanvalve.data.request;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.rowanvalve.data.origin.OriginResponseValidator;

/** The headers of an origin's response that are forwarded to the client. */
public final class EndToEndHeaders {
    /** Headers that apply to one connection only, or that another node of the cluster sets already. */
    private static final Set<String> CONNECTION_HEADERS = Set.of(
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
            OriginResponseValidator.SERVICE_HEADER);

    private EndToEndHeaders() {}

    /** Returns the headers of an origin's response without those that are not forwarded. */
    public static Map<String, String> of(final Map<String, String> headers) {
        final Map<String, String> endToEnd = new TreeMap<>(headers);
        endToEnd.keySet().removeAll(CONNECTION_HEADERS);
        return endToEnd;
    }
}
