package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonTypeName;

@JsonTypeName("Reported")
public record StatusResponse(String json) implements Message {}
