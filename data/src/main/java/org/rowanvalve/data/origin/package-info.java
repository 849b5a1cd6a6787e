/**
 * Requests to origins: the choice of an origin, queueing, rate limits, load reports, retries and the check of
 * responses. Every request leaves a node through {@code OriginDispatcher}; the lease is checked at the last moment.
 * Owns what is known of each origin's load, in memory only.
 *
 * <p>Depends on {@code control.config}, {@code control.lease}, {@code control.placement}, {@code data.cancel},
 * {@code data.limit} and {@code data.settings}.
 */
package org.rowanvalve.data.origin;
