/**
 * The simulator: whole deployments of real nodes on virtual time, network and storage. A seed repeats to the byte.
 */
package org.rowanvalve.testkit.sim;
