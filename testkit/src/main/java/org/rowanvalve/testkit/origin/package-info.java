/**
 * Stand-in origins over HTTP.
 *
 * <p>Depends on {@code control.json}, {@code server.http} and {@code testkit.log}.
 */
package org.rowanvalve.testkit.origin;
