/**
 * The rules, checked on a run from its logs alone.
 */
package org.rowanvalve.testkit.judge;
