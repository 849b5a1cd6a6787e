/**
 * Which shard an object or an operation belongs to.
 */
package org.rowanvalve.data.routing;
