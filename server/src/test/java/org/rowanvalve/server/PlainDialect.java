package org.rowanvalve.server;

import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.UnaryOperator;
import org.rowanvalve.control.Origin;
import org.rowanvalve.data.Port;

/** A dialect for tests over bare sockets: a request states its id, and every answer is taken as it is. */
class PlainDialect implements Dialect {
    @Override
    public boolean introduces() {
        return false;
    }

    @Override
    public void heads(final Origin to, final Port.Send what, final BiConsumer<String, String> put) {
        put.accept("Id", what.id());
    }

    @Override
    public Port.Got read(
            final Origin to,
            final Port.Send what,
            final int status,
            final Map<String, String> heads,
            final byte[] body) {
        return new Port.Got(Port.End.WHOLE, status, heads, body, "");
    }

    @Override
    public Map<String, String> rehearsed(final UnaryOperator<String> heads) {
        return Map.of();
    }

    @Override
    public String fault(final Origin to, final Port.Send what, final Port.Got got) {
        return "";
    }
}
