/**
 * Confirmation of a node's view: a majority of the acceptors confirms that a node has every item that they had accepted
 * when the node sent its request. Purges, leaving origins, configuration and all responses to operators rely on this
 * confirmation, never on pushed updates.
 *
 * <p>Depends on {@code control.consensus}, {@code control.store} and {@code control.voting}.
 */
package org.rowanvalve.control.view;
