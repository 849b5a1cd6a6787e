/**
 * The log of a process: numbered events as text or JSON lines.
 *
 * <p>Depends on {@code control.json} and {@code server.thread}.
 */
package org.rowanvalve.server.log;
