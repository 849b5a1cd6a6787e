package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/** An error in an input, with the path of the faulty element. */
public record ValidationError(
        @JsonProperty("place") String path,
        @JsonProperty("text") String message) {
    @Override
    public String toString() {
        return path + ": " + message;
    }
}
