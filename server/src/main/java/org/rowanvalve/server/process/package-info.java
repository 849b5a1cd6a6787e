/**
 * The programs: start, composition, reload and shutdown of one process.
 *
 * <p>Depends on {@code control.config}, {@code control.voting}, {@code data.node}, {@code data.origin}, {@code
 * data.request}, {@code data.settings}, {@code server.http}, {@code server.log}, {@code server.net}, {@code
 * server.options}, {@code server.origin}, {@code server.storage} and {@code server.thread}.
 */
package org.rowanvalve.server.process;
