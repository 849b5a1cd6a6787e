/**
 * Election of the leader by a lease in the leadership register, whose term never decreases.
 *
 * <p>Depends on {@code control.consensus}, {@code control.json} and {@code control.store}.
 */
package org.rowanvalve.control.election;
