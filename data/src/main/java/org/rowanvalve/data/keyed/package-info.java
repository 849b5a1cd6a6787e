/**
 * Keyed requests, executed at most once by the lease holder of their shard. The intent is recorded at a majority of the
 * replicas before the first byte is sent to the origin, and the outcome after the response. The entry point is {@code
 * KeyedRequests}, which uses {@code RecordReader} and {@code RecordWrite}.
 *
 * <p>Depends on {@code control.lease}, {@code control.record}, {@code control.voting}, {@code data.cancel}, {@code
 * data.origin} and {@code data.request}.
 */
package org.rowanvalve.data.keyed;
