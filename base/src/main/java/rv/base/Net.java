package rv.base;

import java.util.function.Consumer;

public interface Net {
    void ask(NodeId to, Msg msg, long wait, Consumer<Reply> then);

    /** One-way: nothing is heard of it, and it may be lost. */
    default void tell(final NodeId to, final Msg msg) {
        ask(to, msg, 300, r -> { });
    }

    @FunctionalInterface
    interface Port {
        void take(NodeId from, Msg msg, Consumer<Msg> back);
    }
}
