/**
 * The event loop over a real thread, and the guard that keeps such a thread alive.
 */
package org.rowanvalve.server.thread;
