package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.rowanvalve.common.model.ItemId;

/** The start of a page of registers: in this bucket, after the item {@code after}, or at its first item if null. */
public record RegisterPosition(
        int bucket, @JsonProperty("after") ItemId after) {
    public static final RegisterPosition START = new RegisterPosition(0, null);
}
