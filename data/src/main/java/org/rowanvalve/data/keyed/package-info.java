/**
 * Keyed requests at the holder of their shard: the intent is recorded at a majority before a byte is sent to the
 * origin, the outcome after it. Read {@code KeyedRequests}, then {@code RecordReader} and {@code RecordWrite}.
 *
 * <p>Depends on {@code control.lease}, {@code control.record}, {@code control.voting}, {@code data.cancel}, {@code
 * data.origin} and {@code data.request}.
 */
package org.rowanvalve.data.keyed;
