/**
 * What operators state: routes, services, purges, limits, origins, their checks, and the view of them that traffic uses.
 */
package org.rowanvalve.control.config;
