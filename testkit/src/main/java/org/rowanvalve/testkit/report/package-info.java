/**
 * Figures of a run for people.
 */
package org.rowanvalve.testkit.report;
