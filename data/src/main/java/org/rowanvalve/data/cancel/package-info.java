/**
 * Requests whose response nobody waits for any more: how the work on them hears of it.
 *
 * <p>Depends on {@code common.model} and {@code common.runtime}.
 */
package org.rowanvalve.data.cancel;
