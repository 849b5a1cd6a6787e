/**
 * The test kit's command line.
 *
 * <p>Depends on {@code testkit.fleet}, {@code testkit.judge}, {@code testkit.log}, {@code testkit.origin}, {@code
 * testkit.report}, {@code testkit.scale}, {@code testkit.scenario}, {@code testkit.sim} and
 * {@code testkit.soak}.
 */
package org.rowanvalve.testkit;
