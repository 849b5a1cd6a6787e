/**
 * Assembles a node from the components of its role, and manages its lifecycle: start, status, reload, recovery from a
 * pause of the process, and shutdown.
 *
 * <p>Depends on {@code control.config}, {@code control.consensus}, {@code control.election}, {@code control.json},
 * {@code control.lease}, {@code control.membership}, {@code control.operator}, {@code control.placement}, {@code
 * control.reconfiguration}, {@code control.record}, {@code control.store}, {@code control.view}, {@code
 * control.voting}, {@code data.edge}, {@code data.keyed}, {@code data.origin}, {@code data.settings} and {@code
 * data.shield}.
 */
package org.rowanvalve.data.node;
