/**
 * Logs of a run as JSON lines.
 */
package org.rowanvalve.testkit.log;
