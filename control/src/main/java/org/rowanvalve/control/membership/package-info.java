/**
 * Heartbeats and failure detection: which nodes there are, how long each has been silent, and whether clocks run at
 * the same rate. Owns the member list, in memory only. Silence decides when somebody is replaced, never whether it is
 * safe.
 *
 * <p>Depends on {@code control.voting}.
 */
package org.rowanvalve.control.membership;
