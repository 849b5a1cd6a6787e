/**
 * Confirmation of a node's view: a majority of acceptors says that a node holds all they had accepted when it asked.
 * Purges, leaving origins, configuration and every answer to an operator rest on this, never on pushed updates.
 *
 * <p>Depends on {@code control.consensus}, {@code control.store} and {@code control.voting}.
 */
package org.rowanvalve.control.view;
