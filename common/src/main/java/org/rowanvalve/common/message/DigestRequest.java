package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

/**
 * Asks a voter whether it holds any item that the sender lacks; {@code digest} is over all items of the sender. {@code
 * bucketCount}: into how many buckets the answer should divide the items, the least number where it is left out.
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
