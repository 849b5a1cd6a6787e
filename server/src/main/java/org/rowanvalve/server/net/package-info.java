/**
 * The transport between processes over TCP: one selector thread, length-prefixed CBOR frames.
 */
package org.rowanvalve.server.net;
