/**
 * Figures of a run for people.
 *
 * <p>Depends on {@code testkit.judge}.
 */
package org.rowanvalve.testkit.report;
