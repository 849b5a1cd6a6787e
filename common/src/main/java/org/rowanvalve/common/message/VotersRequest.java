package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonTypeName;

/** Asks any node for the current voters. An empty response means that the node does not know them either. */
@JsonTypeName("Seats")
public record VotersRequest() implements Message {}
