package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonTypeName;

/** Who votes, asked of any node that may know; an empty answer means that it does not know either. */
@JsonTypeName("Seats")
public record VotersRequest() implements Message {}
