/**
 * The options of a process: flags, file, checks, and which changes take effect without a restart.
 *
 * <p>Depends on {@code control.json}, {@code control.operator}, {@code control.record}, {@code control.voting} and {@code data.settings}.
 */
package org.rowanvalve.server.options;
