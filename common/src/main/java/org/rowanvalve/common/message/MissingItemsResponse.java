package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;
import org.rowanvalve.common.model.ItemId;

/**
 * The response to a {@link MissingItemsRequest}.
 *
 * @param items the chosen items that the requesting node lacks
 * @param complete whether {@code items} contains all of them
 * @param wanted the items that the responding voter lacks and asks the requesting node to send
 */
@JsonTypeName("Give")
public record MissingItemsResponse(
        @JsonProperty("list") List<ChosenItem> items,
        @JsonProperty("all") boolean complete,
        @JsonProperty("want") List<ItemId> wanted)
        implements Message {}
