/**
 * Shard leases: the manager's side on the acting leader, the holder's side on shields. A holder fills only while its
 * lease is held; validity counts from the send time of the answered renewal, less the margin, and a shard is granted to
 * another holder only after the earlier lease has surely ended.
 */
package org.rowanvalve.control.lease;
