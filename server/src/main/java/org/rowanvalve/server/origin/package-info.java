/**
 * HTTP connections to origins, and the protocol by which an origin proves its answer.
 */
package org.rowanvalve.server.origin;
