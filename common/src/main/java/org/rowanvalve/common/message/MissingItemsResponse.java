package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;
import org.rowanvalve.common.model.ItemId;

@JsonTypeName("Give")
public record MissingItemsResponse(
        @JsonProperty("list") List<ChosenItem> items,
        @JsonProperty("all") boolean complete,
        @JsonProperty("want") List<ItemId> wanted)
        implements Message {}
