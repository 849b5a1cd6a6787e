/**
 * Keeps the voting set at its wanted size: replaces voters that are silent or shut down by standbys, one at a time.
 * Runs at the leader only.
 *
 * <p>Depends on {@code control.consensus}, {@code control.election}, {@code control.json}, {@code control.membership},
 * {@code control.view} and {@code control.voting}.
 */
package org.rowanvalve.control.reconfiguration;
