package org.rowanvalve.server.log;

import org.rowanvalve.common.event.Event;

/** An event and the time of day at which it happened, in ms. */
record LogEntry(long wallMillis, Event event) {}
