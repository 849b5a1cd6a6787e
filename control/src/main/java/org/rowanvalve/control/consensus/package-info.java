/**
 * Single-decree consensus on each register independently (Paxos per item, without a log and without a leader): the
 * proposer, the acceptor with its state on stable storage, the recovery of lost acceptor state, the handover between
 * two voting sets, and the completion of writes whose proposer has failed.
 *
 * <p>Safety rests on three rules. First, an acceptor answers only in its present epoch, and only while its state
 * contains every promise and accepted value of that epoch. Second, an acceptor that lost its state reads a majority of
 * the voters before it answers again, and each voter that is read raises its ballot floor. Third, the voters of a new
 * voting set answer only after a majority of the previous set has been sealed and read.
 *
 * <p>Depends on {@code control.store} and {@code control.voting}.
 */
package org.rowanvalve.control.consensus;
