/**
 * Deployments, scenarios of faults, and their generation from seeds.
 *
 * <p>Depends on {@code control.json} and {@code testkit.log}.
 */
package org.rowanvalve.testkit.scenario;
