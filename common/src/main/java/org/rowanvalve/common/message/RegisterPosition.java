package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.rowanvalve.common.model.ItemId;

/** Where a page of registers begins: in this bucket, after the item {@code after}, or at its first one. */
public record RegisterPosition(
        int bucket, @JsonProperty("after") ItemId after) {
    public static final RegisterPosition START = new RegisterPosition(0, null);
}
