package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonTypeName;
import java.util.List;

/** A checksum for each bucket over the accepted values and their ballots; all that it covers is synced. */
@JsonTypeName("AcceptedChecksumsGiven")
public record AcceptedChecksumsResponse(List<Long> checksums) implements Message {}
