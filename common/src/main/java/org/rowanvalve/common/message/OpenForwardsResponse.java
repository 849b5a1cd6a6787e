package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/** The requested serials for whose responses the edge still waits. */
@JsonTypeName("OpenForwardsKnown")
public record OpenForwardsResponse(List<Long> serials) implements Message {
    public OpenForwardsResponse {
        serials = serials == null ? List.of() : List.copyOf(serials);
    }
}
