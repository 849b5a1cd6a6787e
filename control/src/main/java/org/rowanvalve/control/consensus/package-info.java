/**
 * Single-decree agreement on each register by itself (Paxos per item, without a log and without a leader): the
 * proposer, the acceptor with its state on stable storage, the recovery of a lost state, the handover between two
 * voting sets, and the completion of writes whose proposer vanished.
 *
 * <p>Safety rests on three things. An acceptor answers only in the epoch it is in, and only while it holds all that it
 * ever answered there. One that lost its state reads a majority first, and each that is read raises its ballot floor.
 * A later voting set answers only once a majority of the earlier one is sealed and read.
 *
 * <p>Depends on {@code control.store} and {@code control.voting}.
 */
package org.rowanvalve.control.consensus;
