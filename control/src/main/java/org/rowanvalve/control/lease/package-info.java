/**
 * Shard leases: {@code LeaseManager} at the leader, {@code LeaseHolder} at shields. A holder fills only while its
 * lease is held; validity counts from the send time of the answered renewal, less the margin, and a shard is granted
 * to another holder only after the earlier lease has surely ended. Leases are in memory only: after a restart they are
 * granted again.
 *
 * <p>Depends on {@code control.consensus}, {@code control.election}, {@code control.json}, {@code control.membership},
 * {@code control.placement} and {@code control.store}.
 */
package org.rowanvalve.control.lease;
