/**
 * In-memory copies of origin responses. A copy carries the versions under which it was filled, and is never served if
 * it is older than a purge or a route requires.
 *
 * <p>Depends on {@code control.config}.
 */
package org.rowanvalve.data.cache;
