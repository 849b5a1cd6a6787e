/**
 * Cancellation of requests whose callers no longer wait for the response.
 *
 * <p>Depends on {@code common.model} and {@code common.runtime}.
 */
package org.rowanvalve.data.cancel;
