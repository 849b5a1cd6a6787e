package org.rowanvalve.server.net;

import org.rowanvalve.common.message.Message;

/** Hears of each frame that goes out or comes in, with its size; from any thread. */
public interface TrafficMeter {
    TrafficMeter NONE = new TrafficMeter() {
        @Override
        public void onSent(final Message message, final int bytes) {}

        @Override
        public void onReceived(final Message message, final int bytes) {}
    };

    void onSent(Message message, int bytes);

    void onReceived(Message message, int bytes);
}
