/**
 * The simulator: whole deployments of real nodes on virtual time, network and storage. A seed repeats to the byte.
 *
 * <p>Depends on {@code control.config}, {@code control.json}, {@code control.operator}, {@code control.voting}, {@code data.cancel}, {@code
 * data.node}, {@code data.origin}, {@code data.request}, {@code data.settings}, {@code testkit.log}, {@code
 * testkit.origin} and {@code testkit.scenario}.
 */
package org.rowanvalve.testkit.sim;
