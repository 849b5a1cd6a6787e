/**
 * Which shield owns which shard under which fencing token (the placement plan, a register), how owners are chosen, and
 * how the shares of a rate limit follow demand.
 *
 * <p>Depends on {@code control.json} and {@code control.membership}.
 */
package org.rowanvalve.control.placement;
