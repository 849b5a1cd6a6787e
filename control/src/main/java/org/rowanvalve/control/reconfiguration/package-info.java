/**
 * Maintains the voting set at its target size: voters that are silent or shutting down are replaced by standbys, one at
 * a time. Runs on the leader only.
 *
 * <p>Depends on {@code control.consensus}, {@code control.election}, {@code control.json}, {@code control.membership},
 * {@code control.view} and {@code control.voting}.
 */
package org.rowanvalve.control.reconfiguration;
