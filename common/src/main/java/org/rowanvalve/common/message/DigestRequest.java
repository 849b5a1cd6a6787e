package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

/** Asks a voter whether it holds any item that the sender lacks; {@code digest} is over all items of the sender. */
@JsonTypeName("Query")
public record DigestRequest(
        long epoch, @JsonProperty("hash") long digest) implements Message {}
