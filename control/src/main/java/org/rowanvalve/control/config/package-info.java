/**
 * What operators declare: routes, services, purges, limits, origins, how they are read and checked, and the view of
 * them that requests use.
 *
 * <p>Depends on {@code control.json}, {@code control.placement} and {@code control.store}.
 */
package org.rowanvalve.control.config;
