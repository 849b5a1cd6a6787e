package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import org.rowanvalve.common.model.FencingToken;

/**
 * A new holder reads the records of a shard. {@code paged}: without bodies, in pages; else all in one answer, without
 * outcomes. {@code afterKey}, {@code era}: the last key of the page before and the era it was given in; no key for the
 * first page.
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
