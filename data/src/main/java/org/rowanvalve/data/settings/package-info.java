/**
 * The settings of one node, fixed and reloadable.
 *
 * <p>Depends on {@code control.operator}, {@code control.placement}, {@code control.record} and {@code control.voting}.
 */
package org.rowanvalve.data.settings;
