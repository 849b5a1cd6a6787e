/**
 * The log of a process: numbered events as text or JSON lines.
 *
 * <p>Depends on {@code control.json}, {@code data.keyed}, {@code data.origin}, {@code data.request} and {@code server.thread}.
 */
package org.rowanvalve.server.log;
