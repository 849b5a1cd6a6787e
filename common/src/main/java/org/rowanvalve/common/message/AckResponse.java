package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonTypeName;

@JsonTypeName("Ok")
public record AckResponse() implements Message {}
