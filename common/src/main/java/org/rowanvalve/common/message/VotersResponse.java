package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/** {@code foundingVoters}: the founding voters; {@code votingSet}: the chosen set that votes now, none while those do. */
@JsonTypeName("Seated")
public record VotersResponse(
        @JsonProperty("electors") List<String> foundingVoters,
        @JsonProperty("voters") ChosenItem votingSet) implements Message {}
