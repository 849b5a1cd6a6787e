package org.rowanvalve.data.keyed;

/**
 * A request that is executed at most once for its key.
 *
 * @param key the key as the records name it, unique over all routes
 * @param digest the digest of the request; a repeat of the key with another digest is rejected
 * @param requestId the ID that the client gave to this request
 */
public record KeyedRequest(int shard, String key, String digest, String requestId) {}
