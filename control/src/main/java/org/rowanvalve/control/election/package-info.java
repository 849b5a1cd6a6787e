/**
 * Election of the one leader: a lease of its own on the leadership register, with a term that only rises.
 *
 * <p>Depends on {@code control.consensus}, {@code control.json} and {@code control.store}.
 */
package org.rowanvalve.control.election;
