/**
 * Shields: they answer edges from their cache, by one fill for many, by passing through, or once per key.
 */
package org.rowanvalve.data.shield;
