package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import org.rowanvalve.common.model.CancelCause;

/**
 * An edge takes back a {@link ForwardRequest}, named by the edge's start and the request's serial: nobody waits for its
 * response. It may come twice, after the response, or before the request itself. It has no answer; one that is lost is
 * made up for by the request's own time-out. Only members of {@link org.rowanvalve.common.model.Member#CANCEL_VERSION} or
 * later take it.
 */
@JsonTypeName("Cancel")
public record CancelRequest(@JsonProperty("boot") String incarnation, long serial, CancelCause cause)
        implements Message {
    public CancelRequest {
        cause = cause == null ? CancelCause.OTHER : cause;
    }
}
