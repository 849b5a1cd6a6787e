package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/** One fault of an input, with the place in the input where it stands. */
public record ValidationError(
        @JsonProperty("place") String path,
        @JsonProperty("text") String message) {
    @Override
    public String toString() {
        return path + ": " + message;
    }
}
