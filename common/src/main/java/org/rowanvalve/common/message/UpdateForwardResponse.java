package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.UpdateVerdict;
import org.rowanvalve.common.model.ValidationError;

/** What the update came to; {@code item} and {@code version} name the conflict, where there is one. */
@JsonTypeName("Ordered")
public record UpdateForwardResponse(
        UpdateVerdict verdict,
        ItemId item,
        long version,
        @JsonProperty("findings") List<ValidationError> errors) implements Message {}
