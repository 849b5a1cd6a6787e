package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/** One checksum per bucket over the accepted values and their ballots. All covered values are synced to disk. */
@JsonTypeName("AcceptedChecksumsGiven")
public record AcceptedChecksumsResponse(List<Long> checksums) implements Message {}
