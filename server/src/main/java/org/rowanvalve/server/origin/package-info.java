/**
 * HTTP connections to origins, and the protocol by which an origin proves its response.
 *
 * <p>Depends on {@code control.config}, {@code control.json}, {@code data.origin} and {@code server.http}.
 */
package org.rowanvalve.server.origin;
