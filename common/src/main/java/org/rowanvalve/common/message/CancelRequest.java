package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import org.rowanvalve.common.model.CancelCause;

/**
 * An edge cancels a {@link ForwardRequest} because no client waits for its response any longer. The edge's incarnation
 * and the request's serial identify the request. A cancellation may arrive twice, after the response, or before the
 * request itself. Its sender does not depend on a response; if a cancellation is lost, the request ends by its own
 * timeout. Only members of version {@link org.rowanvalve.common.model.Member#CANCEL_VERSION} or later accept this
 * message.
 */
@JsonTypeName("Cancel")
public record CancelRequest(@JsonProperty("boot") String incarnation, long serial, CancelCause cause)
        implements Message {
    public CancelRequest {
        cause = cause == null ? CancelCause.OTHER : cause;
    }
}
