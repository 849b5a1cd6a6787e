/**
 * Requests to origins: the choice of an origin, queueing, rate limits, load reports, retries and the validation of
 * responses. A node sends every origin request through {@code OriginDispatcher}, which checks the lease right before
 * the request is written. This package keeps the load statistics of each origin, in memory only.
 *
 * <p>Depends on {@code control.config}, {@code control.lease}, {@code control.placement}, {@code data.cancel},
 * {@code data.limit}, {@code data.request} and {@code data.settings}.
 */
package org.rowanvalve.data.origin;
