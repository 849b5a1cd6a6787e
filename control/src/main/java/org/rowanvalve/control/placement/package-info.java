/**
 * The placement plan, a register that assigns each shard to a shield with a fencing token; the selection of owners; and
 * the adaptation of rate limit shares to demand.
 *
 * <p>Depends on {@code control.json} and {@code control.membership}.
 */
package org.rowanvalve.control.placement;
