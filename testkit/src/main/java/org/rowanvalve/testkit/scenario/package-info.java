/**
 * Deployments, scenarios of faults, and their generation from seeds.
 */
package org.rowanvalve.testkit.scenario;
