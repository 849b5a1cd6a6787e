package org.rowanvalve.server;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.UnaryOperator;
import org.rowanvalve.control.Origin;
import org.rowanvalve.data.AnswerCheck;
import org.rowanvalve.data.Port;

/** The origin contract of docs/ORIGINS.md. */
public final class OwnDialect implements Dialect {
    private static final String TAGS = "rv-tags";

    @Override
    public boolean introduces() {
        return true;
    }

    @Override
    public void heads(final Origin to, final Port.Send what, final BiConsumer<String, String> put) {
        put.accept("Rv-Request", what.id());
        put.accept("Rv-Service", to.service());
        put.accept("Rv-Stamp", to.stamp());
        if (what.key() != null) {
            put.accept("Rv-Key", what.key());
        }
    }

    @Override
    public Port.Got read(
            final Origin to,
            final Port.Send what,
            final int status,
            final Map<String, String> heads,
            final byte[] body) {
        final List<String> tags =
                heads.containsKey(TAGS) ? Arrays.asList(heads.get(TAGS).trim().split(" +")) : List.of();
        return new Port.Got(Port.End.WHOLE, status, heads, body, "", tags, Port.Load.NONE);
    }

    @Override
    public Map<String, String> rehearsed(final UnaryOperator<String> heads) {
        return Map.of(
                AnswerCheck.REQUEST,
                heads.apply("Rv-Request"),
                AnswerCheck.STAMP,
                "o",
                "content-type",
                "text/plain",
                TAGS,
                "a b");
    }

    @Override
    public String fault(final Origin to, final Port.Send what, final Port.Got got) {
        return AnswerCheck.fault(to, what, got.heads(), got.body());
    }
}
