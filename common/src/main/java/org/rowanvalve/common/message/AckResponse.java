package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonTypeName;

/** Acknowledges a request that has no other result. */
@JsonTypeName("Ok")
public record AckResponse() implements Message {}
