package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

@JsonTypeName("Query")
public record DigestRequest(
        long epoch, @JsonProperty("hash") long digest) implements Message {}
