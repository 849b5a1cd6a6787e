/**
 * Logs of a run as JSON lines.
 *
 * <p>Depends on {@code control.json}.
 */
package org.rowanvalve.testkit.log;
