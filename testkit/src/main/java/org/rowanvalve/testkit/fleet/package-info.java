/**
 * Fleets: a deployment's processes on loopback addresses, with relays for links.
 *
 * <p>Depends on {@code control.json}, {@code testkit.log}, {@code testkit.origin} and {@code testkit.scenario}.
 */
package org.rowanvalve.testkit.fleet;
