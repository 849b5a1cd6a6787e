package org.rowanvalve.common;

import java.util.Collection;
import java.util.function.Consumer;

/** The transport between processes: requests that are answered, and one-way messages. */
public interface Net {
    void ask(NodeId to, Msg msg, long wait, Consumer<Reply> then);

    /** One-way: nothing is heard of it, and it may be lost. */
    default void tell(final NodeId to, final Msg msg) {
        ask(to, msg, 300, r -> {});
    }

    default void tell(final Collection<NodeId> to, final Msg msg) {
        to.forEach(n -> tell(n, msg));
    }

    /** Receives the messages that other nodes send to this one. */
    @FunctionalInterface
    interface Port {
        void take(NodeId from, Msg msg, Consumer<Msg> back);
    }
}
