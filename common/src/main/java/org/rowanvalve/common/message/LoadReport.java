package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.Map;

/** One-way message with the number of the sender's requests that are in progress at each of these origins. */
@JsonTypeName("Busy")
public record LoadReport(@JsonProperty("counts") Map<String, Integer> requestsByOrigin) implements Message {}
