package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import org.rowanvalve.common.model.FencingToken;

/**
 * A new lease holder reads the records of a shard.
 *
 * @param paged whether to return the records in pages and without bodies; otherwise one response contains all records
 *     without outcomes
 * @param afterKey the last key of the previous page; null for the first page
 * @param era the era in which the previous page was read
 */
@JsonTypeName("KeepRead")
public record RecordReadRequest(
        long epoch,
        int shard,
        FencingToken token,
        @JsonProperty("boot") String reader,
        boolean paged,
        @JsonProperty("after") String afterKey,
        long era)
        implements Message {}
