/**
 * Fleets: a deployment's processes on loopback addresses, with relays for links.
 */
package org.rowanvalve.testkit.fleet;
