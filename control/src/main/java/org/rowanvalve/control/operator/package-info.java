/**
 * The interface of operators and origins to the replicated state: single items, updates under the operator's own
 * versions, purges, heartbeats of origins, garbage collection of what has been dropped. Owns the update ledger, one
 * register that decides every update as a whole.
 *
 * <p>Depends on {@code control.config}, {@code control.consensus}, {@code control.json}, {@code control.store} and
 * {@code control.view}.
 */
package org.rowanvalve.control.operator;
