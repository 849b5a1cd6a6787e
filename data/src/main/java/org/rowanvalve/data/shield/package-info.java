/**
 * Shields, which answer the requests of edges from their cache, by shared fills, by passing requests through to
 * origins, or by executing keyed requests at most once.
 *
 * <p>Depends on {@code control.config}, {@code control.lease}, {@code data.cache}, {@code data.cancel}, {@code
 * data.keyed}, {@code data.limit}, {@code data.origin}, {@code data.request}, {@code data.routing} and {@code
 * data.settings}.
 */
package org.rowanvalve.data.shield;
