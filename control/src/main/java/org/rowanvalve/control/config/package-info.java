/**
 * The configuration: routes, services, purges and limits that operators declare, announced origins, parsing and
 * validation, and the indexed view that request processing uses.
 *
 * <p>Depends on {@code control.json}, {@code control.placement} and {@code control.store}.
 */
package org.rowanvalve.control.config;
