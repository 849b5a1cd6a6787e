package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/** The founding voters, and the chosen voting set that votes now; the set is null while the founding voters vote. */
@JsonTypeName("Seated")
public record VotersResponse(
        @JsonProperty("electors") List<String> foundingVoters,
        @JsonProperty("voters") ChosenItem votingSet) implements Message {}
