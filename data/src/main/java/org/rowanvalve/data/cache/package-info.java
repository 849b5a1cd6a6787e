/**
 * Copies of origins' responses in memory.
 */
package org.rowanvalve.data.cache;
