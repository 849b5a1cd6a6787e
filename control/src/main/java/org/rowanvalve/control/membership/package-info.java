/**
 * Heartbeats and failure detection: the known nodes, the time for which each has been silent, and whether clocks run at
 * the same rate. Owns the member list, which is kept in memory only. Silence determines when a node is replaced; safety
 * never depends on it.
 *
 * <p>Depends on {@code control.voting}.
 */
package org.rowanvalve.control.membership;
