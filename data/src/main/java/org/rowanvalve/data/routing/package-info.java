/**
 * Which shard an object or an operation belongs to; the same on every node.
 *
 * <p>Depends on {@code control.config} and {@code control.placement}.
 */
package org.rowanvalve.data.routing;
