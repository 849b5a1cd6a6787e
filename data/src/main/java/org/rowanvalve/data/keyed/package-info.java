/**
 * Keyed requests at the holder of their shard: the intent is recorded at a majority before a byte leaves for the origin,
 * the outcome after it.
 */
package org.rowanvalve.data.keyed;
