/**
 * Scale runs: many nodes without traffic in one process, and what each size costs.
 */
package org.rowanvalve.testkit.scale;
