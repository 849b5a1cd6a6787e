/**
 * The requests and responses between processes and their CBOR encoding. Each message states its tag, and each member
 * whose Java name differs states the name in the frame, so a rename in Java changes no frame.
 *
 * <p>Depends on {@code common.model} only.
 */
package org.rowanvalve.common.message;
