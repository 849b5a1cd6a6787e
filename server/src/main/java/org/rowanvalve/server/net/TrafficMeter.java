package org.rowanvalve.server.net;

import org.rowanvalve.common.message.Message;

/** Receives the size of each message that is sent or received; from any thread. */
public interface TrafficMeter {
    TrafficMeter NONE = new TrafficMeter() {
        @Override
        public void onSent(final Message message, final int bytes) {}

        @Override
        public void onReceived(final Message message, final int bytes) {}
    };

    /** {@code bytes}: of the encoded message with its length prefix. */
    void onSent(Message message, int bytes);

    void onReceived(Message message, int bytes);
}
