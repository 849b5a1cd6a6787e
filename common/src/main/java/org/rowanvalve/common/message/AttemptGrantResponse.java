package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonTypeName;

/**
 * The response to an {@link AttemptGrantRequest}.
 *
 * @param count how many more origins the request may be sent to; these attempts are reserved for the node that asked
 */
@JsonTypeName("AttemptsGranted")
public record AttemptGrantResponse(int count) implements Message {}
