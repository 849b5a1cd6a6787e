/**
 * The voting configuration: the voters of each epoch, their quorums and addresses, and the search for a later voting
 * set. The voting set itself is stored in a register, whose version is the epoch.
 *
 * <p>Depends on {@code control.json} and {@code control.store}.
 */
package org.rowanvalve.control.voting;
