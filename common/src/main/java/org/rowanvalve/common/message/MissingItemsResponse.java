package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;
import org.rowanvalve.common.model.ItemId;

/**
 * {@code items}: chosen items that the sender lacked; {@code complete}: whether these are all; {@code wanted}: items
 * that the voter lacks itself and asks to be sent.
 */
@JsonTypeName("Give")
public record MissingItemsResponse(
        @JsonProperty("list") List<ChosenItem> items,
        @JsonProperty("all") boolean complete,
        @JsonProperty("want") List<ItemId> wanted)
        implements Message {}
