package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

/** Rejects a request that was understood, with a reason in plain text. */
@JsonTypeName("Nay")
public record RejectedResponse(@JsonProperty("why") String reason) implements Message {
    /** The reason of a voter whose disk has been stalled or failing for longer than its timeout. */
    public static final String STORAGE_UNAVAILABLE = "disk";

    /** Whether a voter rejected the request because its disk is stalled or failing. */
    public static boolean isStorageUnavailable(final Reply reply) {
        return reply.as(RejectedResponse.class)
                .filter(rejection -> STORAGE_UNAVAILABLE.equals(rejection.reason()))
                .isPresent();
    }
}
