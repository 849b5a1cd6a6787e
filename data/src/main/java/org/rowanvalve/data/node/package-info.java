/**
 * One node assembled from the parts that its role has, and its lifecycle: start, status, reload, pause of the process,
 * shutdown.
 *
 * <p>Depends on {@code control.config}, {@code control.consensus}, {@code control.election}, {@code control.json},
 * {@code control.lease}, {@code control.membership}, {@code control.operator}, {@code control.placement}, {@code
 * control.reconfiguration}, {@code control.record}, {@code control.store}, {@code control.view}, {@code
 * control.voting}, {@code data.edge}, {@code data.keyed}, {@code data.origin}, {@code data.settings} and {@code
 * data.shield}.
 */
package org.rowanvalve.data.node;
