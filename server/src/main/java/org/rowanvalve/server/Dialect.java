package org.rowanvalve.server;

import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.UnaryOperator;
import org.rowanvalve.control.Origin;
import org.rowanvalve.data.Port;

/** How origins are spoken to: by which headers a request names itself, and what an answer says of itself. */
public interface Dialect {
    /** Whether a new connection asks who the origin is before its first request. */
    boolean introduces();

    void heads(Origin to, Port.Send what, BiConsumer<String, String> put);

    /** {@code heads} with names in small letters. */
    Port.Got read(Origin to, Port.Send what, int status, Map<String, String> heads, byte[] body);

    /** What a sound answer states, given the request's headers by name; for rehearsals in this process only. */
    Map<String, String> rehearsed(UnaryOperator<String> heads);

    /** What an answer lacks to be shown to a caller; empty where it lacks nothing. */
    String fault(Origin to, Port.Send what, Port.Got got);
}
