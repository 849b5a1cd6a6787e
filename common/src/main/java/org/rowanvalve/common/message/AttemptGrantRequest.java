package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonTypeName;

/**
 * Asks the edge that sent the {@link ForwardRequest} with this serial whether the request may be sent to one more
 * origin.
 */
@JsonTypeName("MoreAttempts")
public record AttemptGrantRequest(long serial) implements Message {}
