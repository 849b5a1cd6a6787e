package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonTypeName;

/** Asked of the edge that sent the {@link ForwardRequest} of this serial: may one more origin get the request? */
@JsonTypeName("MoreAttempts")
public record AttemptGrantRequest(long serial) implements Message {}
