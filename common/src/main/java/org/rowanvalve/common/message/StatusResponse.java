package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonTypeName;

/** The status asked for, as JSON text. */
@JsonTypeName("Reported")
public record StatusResponse(String json) implements Message {}
