/**
 * The rules, checked on a run from its logs alone.
 *
 * <p>Depends on {@code testkit.log}.
 */
package org.rowanvalve.testkit.judge;
