/**
 * Copies of origins' responses in memory. A copy carries the versions it was filled under; one that is older than a
 * purge or a route asks for is never served.
 *
 * <p>Depends on {@code control.config}.
 */
package org.rowanvalve.data.cache;
