package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonTypeName;

/**
 * Asks another voter of this epoch for checksums over the values that it has accepted.
 *
 * @param buckets the number of buckets into which the values are divided
 */
@JsonTypeName("AcceptedChecksums")
public record AcceptedChecksumsRequest(long epoch, int buckets) implements Message {}
