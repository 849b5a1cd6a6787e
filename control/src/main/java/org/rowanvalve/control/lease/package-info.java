/**
 * Shard leases: {@code LeaseManager} runs at the leader, {@code LeaseHolder} at the shields. A holder starts fills only
 * under a held lease. The validity of a lease counts from the send time of the last answered renewal and is shortened
 * by a margin. A shard is granted to another holder only after the earlier lease has expired for certain. Leases are
 * kept in memory only and are granted again after a restart.
 *
 * <p>Depends on {@code control.consensus}, {@code control.election}, {@code control.json}, {@code control.membership},
 * {@code control.placement} and {@code control.store}.
 */
package org.rowanvalve.control.lease;
