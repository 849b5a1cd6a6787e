package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.Map;

/** One-way: how many requests of the sender each of these origins has now. */
@JsonTypeName("Busy")
public record LoadReport(@JsonProperty("counts") Map<String, Integer> requestsByOrigin) implements Message {}
