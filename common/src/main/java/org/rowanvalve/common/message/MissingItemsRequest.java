package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;
import java.util.Map;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.Version;

/**
 * Asks for the chosen items of {@code buckets} that are newer than the sender's {@code versions}.
 *
 * @param bucketCount the number of buckets into which the items are divided; the smallest number if null
 */
@JsonTypeName("Vers")
public record MissingItemsRequest(
        long epoch,
        @JsonProperty("cells") List<Integer> buckets,
        @JsonProperty("vers") Map<ItemId, Version> versions,
        @JsonProperty("of") Integer bucketCount)
        implements Message {
    public MissingItemsRequest(final long epoch, final List<Integer> buckets, final Map<ItemId, Version> versions) {
        this(epoch, buckets, versions, null);
    }
}
