package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

/**
 * Asks a voter whether its items equal those of the sender.
 *
 * @param digest the digest over all items of the sender
 * @param bucketCount the number of buckets into which the response divides the items; the smallest number if null
 */
@JsonTypeName("Query")
public record DigestRequest(
        long epoch,
        @JsonProperty("hash") long digest,
        @JsonProperty("of") Integer bucketCount) implements Message {
    public DigestRequest(final long epoch, final long digest) {
        this(epoch, digest, null);
    }
}
