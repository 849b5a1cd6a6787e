/**
 * The voting configuration: which nodes vote in which epoch, what counts as a quorum of them, where they are reached,
 * and how a node finds a later set. The set itself is a register whose version is its epoch.
 *
 * <p>Depends on {@code control.json} and {@code control.store}.
 */
package org.rowanvalve.control.voting;
