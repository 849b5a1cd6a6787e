/**
 * The chosen items that one node has learned, their digest, and the version floors up to which purges and origins are
 * garbage collected. The event loop of the node owns this state. It is kept in memory only and learned again after each
 * start.
 *
 * <p>Depends on {@code control.json}.
 */
package org.rowanvalve.control.store;
