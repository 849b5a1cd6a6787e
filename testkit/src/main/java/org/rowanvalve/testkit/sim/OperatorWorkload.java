package org.rowanvalve.testkit.sim;

import java.util.function.IntConsumer;

/** Operators who change the configuration and purge, whatever their interface. */
interface OperatorWorkload {
    /** The first configuration. */
    void open();

    void start();

    void stop();

    /** Purges some object. */
    void purge();

    /** Restates something; {@code then} hears the status in the instant of the answer, or 0. */
    void state(IntConsumer then);

    /** Something that must not be taken; the status, or 0 where nobody could be asked. */
    void invalid(IntConsumer then);
}
