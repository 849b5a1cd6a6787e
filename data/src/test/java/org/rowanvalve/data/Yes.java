package org.rowanvalve.data;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.rowanvalve.common.Loop;
import org.rowanvalve.control.Origin;

/** Origins that answer all that they are sent. */
record Yes(Loop loop, List<Port.Send> sent) implements Port {
    @Override
    public Rope send(final Origin to, final Send what, final Gate gate, final Consumer<Got> then) {
        sent.add(what);
        loop.post(() ->
                then.accept(new Got(End.WHOLE, 200, Map.of("connection", "close", "x", "y"), "abcd".getBytes(), "")));
        return () -> {};
    }

    @Override
    public String fault(final Origin to, final Send what, final Got got) {
        return "";
    }
}
