/**
 * The requests and responses between processes and their CBOR encoding. Each message declares its type tag, and each
 * component whose Java name differs declares its name in the frame, so that a rename in Java changes no frame.
 *
 * <p>Depends on {@code common.model} only.
 */
package org.rowanvalve.common.message;
