/**
 * Election of the one lease manager: a lease of its own on the leadership register, with a term that only rises.
 *
 * <p>Depends on {@code control.consensus}.
 */
package org.rowanvalve.control.election;
