/**
 * The chosen items that one node has learned, their digest, and the floor below which purges and origins are garbage
 * collected. Owned by the node's event loop; in memory only, it is learned again after each start.
 *
 * <p>Depends on {@code control.json}.
 */
package org.rowanvalve.control.store;
