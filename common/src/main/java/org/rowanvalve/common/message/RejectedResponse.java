package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;

@JsonTypeName("Nay")
public record RejectedResponse(@JsonProperty("why") String reason) implements Message {
    /** A store's own word that its disk has been stalled or failing for the stated time. */
    public static final String STORAGE_UNAVAILABLE = "disk";

    public static boolean isStorageUnavailable(final Reply reply) {
        return reply.as(RejectedResponse.class)
                .filter(n -> STORAGE_UNAVAILABLE.equals(n.reason()))
                .isPresent();
    }
}
