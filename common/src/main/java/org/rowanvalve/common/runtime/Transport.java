package org.rowanvalve.common.runtime;

import java.util.Collection;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.NodeId;

/** The transport between processes: requests that are answered, and one-way messages. */
public interface Transport {
    /**
     * Sends a request. {@code then} gets the response, or the reason why there is none, once, at the latest after
     * {@code wait} ms, in the event loop.
     */
    void request(NodeId recipient, Message msg, long wait, Consumer<Reply> then);

    /** One-way: it may be lost without notice. */
    default void send(final NodeId recipient, final Message msg) {
        request(recipient, msg, 300, reply -> {});
    }

    default void send(final Collection<NodeId> to, final Message msg) {
        to.forEach(node -> send(node, msg));
    }

    /**
     * {@code listener} gets, in the event loop, the id of each connection that has ended. Requests that came on it, which
     * are handled before, can no longer be answered.
     */
    default void onConnectionClosed(final LongConsumer listener) {}

    /** Receives the messages that other nodes send to this one. */
    @FunctionalInterface
    interface Handler {
        void handle(NodeId from, Message msg, Responder back);
    }

    /** Takes the response to one request. */
    @FunctionalInterface
    interface Responder extends Consumer<Message> {
        /** A connection that never ends. */
        long NO_CONNECTION = 0;

        /** Names the connection that the request came on, and that its response goes out on. */
        default long connectionId() {
            return NO_CONNECTION;
        }
    }
}
