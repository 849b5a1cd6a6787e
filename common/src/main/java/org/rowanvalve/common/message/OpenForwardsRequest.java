package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/**
 * Asked of the edge that sent these {@link ForwardRequest}s: which of them does it still wait for? Named by the edge's start
 * and the requests' serials. Only an edge that states its start in its requests is asked.
 */
@JsonTypeName("OpenForwards")
public record OpenForwardsRequest(@JsonProperty("boot") String incarnation, List<Long> serials) implements Message {
    public OpenForwardsRequest {
        serials = serials == null ? List.of() : List.copyOf(serials);
    }
}
