package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.UpdateVerdict;
import org.rowanvalve.common.model.ValidationError;

/** The result of an update. {@code item} and {@code version} identify the conflicting item if there is a conflict. */
@JsonTypeName("Ordered")
public record UpdateForwardResponse(
        UpdateVerdict verdict,
        ItemId item,
        long version,
        @JsonProperty("findings") List<ValidationError> errors) implements Message {}
