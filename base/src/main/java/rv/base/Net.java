package rv.base;

import java.util.function.Consumer;

public interface Net {
    void ask(NodeId to, Msg msg, long wait, Consumer<Reply> then);

    @FunctionalInterface
    interface Port {
        void take(NodeId from, Msg msg, Consumer<Msg> back);
    }
}
