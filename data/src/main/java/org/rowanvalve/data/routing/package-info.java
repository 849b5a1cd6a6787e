/**
 * Maps objects and operations to shards, with the same result on every node.
 *
 * <p>Depends on {@code control.config} and {@code control.placement}.
 */
package org.rowanvalve.data.routing;
