/**
 * The API of operators and origins to the replicated state: single items, updates under versions that the operators
 * choose, purges, heartbeats of origins and garbage collection of deleted items. Contains the update ledger, a single
 * register that decides on every update as a whole.
 *
 * <p>Depends on {@code control.config}, {@code control.consensus}, {@code control.json}, {@code control.store} and
 * {@code control.view}.
 */
package org.rowanvalve.control.operator;
