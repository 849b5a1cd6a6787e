package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/**
 * Asks the edge that sent these {@link ForwardRequest}s for which of them it still waits. The edge's incarnation and
 * the requests' serials identify them. Only an edge that states its incarnation in its requests is asked.
 */
@JsonTypeName("OpenForwards")
public record OpenForwardsRequest(@JsonProperty("boot") String incarnation, List<Long> serials) implements Message {
    public OpenForwardsRequest {
        serials = serials == null ? List.of() : List.copyOf(serials);
    }
}
