package org.rowanvalve.server;

import org.rowanvalve.common.Msg;

/** Hears of each frame that goes out or comes in, with its size; from any thread. */
public interface Meter {
    Meter NONE = new Meter() {
        @Override
        public void out(final Msg msg, final int bytes) {}

        @Override
        public void in(final Msg msg, final int bytes) {}
    };

    void out(Msg msg, int bytes);

    void in(Msg msg, int bytes);
}
