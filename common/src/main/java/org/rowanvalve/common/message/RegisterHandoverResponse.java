package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;
import java.util.Map;
import org.rowanvalve.common.model.NodeId;

/**
 * A page of registers.
 *
 * @param epoch the last epoch in which the responding voter voted
 * @param nextBucket the first bucket of the next page
 * @param position where the next page begins, if the request stated a position
 */
@JsonTypeName("HandedOver")
public record RegisterHandoverResponse(
        long epoch,
        @JsonProperty("floor") long ballotFloor,
        @JsonProperty("lives") long resumptions,
        Map<NodeId, String> founders,
        @JsonProperty("slots") List<Register> registers,
        @JsonProperty("next") int nextBucket,
        @JsonProperty("page") RegisterPosition position)
        implements Message {
    public static final int LAST_PAGE = -1;

    /** Returns where the next page begins; null after the last page. */
    public RegisterPosition next() {
        return position != null || nextBucket == LAST_PAGE ? position : new RegisterPosition(nextBucket, null);
    }
}
