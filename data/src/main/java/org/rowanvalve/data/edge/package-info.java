/**
 * Edges: they take clients' requests, answer from their cache, and forward the rest to shields. Read {@code Edge},
 * then {@code EdgeRequest}, then {@code ShieldForwarding}. Owns the count of origins that one request may be sent to,
 * over all nodes.
 *
 * <p>Depends on {@code control.config}, {@code control.membership}, {@code control.placement}, {@code control.voting},
 * {@code data.cache}, {@code data.cancel}, {@code data.limit}, {@code data.origin}, {@code data.request}, {@code
 * data.routing} and {@code data.settings}.
 */
package org.rowanvalve.data.edge;
