/**
 * Edges accept client requests, answer them from the cache, and forward cache misses and writes to shields. Start reading
 * with {@code Edge}, then {@code EdgeRequest}, then {@code ShieldForwarding}. The edge counts, over all nodes, the origins
 * to which one request is sent.
 *
 * <p>Depends on {@code control.config}, {@code control.membership}, {@code control.placement}, {@code control.voting},
 * {@code data.cache}, {@code data.cancel}, {@code data.limit}, {@code data.origin}, {@code data.request}, {@code
 * data.routing} and {@code data.settings}.
 */
package org.rowanvalve.data.edge;
