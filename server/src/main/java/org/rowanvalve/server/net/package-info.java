/**
 * The transport between processes over TCP: one selector thread, length-prefixed CBOR messages.
 *
 * <p>Depends on {@code server.thread}.
 */
package org.rowanvalve.server.net;
