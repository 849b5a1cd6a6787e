package org.rowanvalve.common.runtime;

import java.util.Collection;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.model.NodeId;

/** The transport between processes: requests with responses, and one-way messages. */
public interface Transport {
    /**
     * Sends a request. {@code callback} runs exactly once, in the event loop and after at most {@code timeoutMs}, with
     * the response or the reason why there is none.
     */
    void request(NodeId recipient, Message msg, long timeoutMs, Consumer<Reply> callback);

    /** Sends a one-way message, which may be lost without notice. */
    default void send(final NodeId recipient, final Message msg) {
        request(recipient, msg, 300, reply -> {});
    }

    default void send(final Collection<NodeId> recipients, final Message msg) {
        recipients.forEach(recipient -> send(recipient, msg));
    }

    /**
     * {@code listener} gets the id of each closed connection, in the event loop. Requests that arrived on the
     * connection are handled before this call, and can no longer be answered.
     */
    default void onConnectionClosed(final LongConsumer listener) {}

    /** Receives the messages that other nodes send to this one. */
    @FunctionalInterface
    interface Handler {
        void handle(NodeId from, Message msg, Responder responder);
    }

    /** Sends the response to one request. */
    @FunctionalInterface
    interface Responder extends Consumer<Message> {
        /** The id of a connection that is never closed. */
        long NO_CONNECTION = 0;

        /** Returns the id of the connection on which the request arrived and the response is sent. */
        default long connectionId() {
            return NO_CONNECTION;
        }
    }
}
