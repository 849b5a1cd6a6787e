/**
 * Shields: they answer edges from their cache, by one fill for many, by passing a request through, or by executing it
 * at most once for each key.
 *
 * <p>Depends on {@code control.config}, {@code control.lease}, {@code data.cache}, {@code data.cancel}, {@code
 * data.keyed}, {@code data.limit}, {@code data.origin}, {@code data.request}, {@code data.routing} and {@code data.settings}.
 */
package org.rowanvalve.data.shield;
