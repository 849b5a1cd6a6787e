package org.rowanvalve.control.operator;

/**
 * Limits on the stored size of operators' updates, in bytes. {@code updateBytes}: the items of one update, at most
 * {@link #MAX_UPDATE_BYTES}; {@code configurationBytes}: everything that operators have set and deleted, which every
 * node keeps in memory.
 */
public record UpdateLimits(int updateBytes, long configurationBytes) {
    /** The largest update that fits into the ledger beside the recorded versions. */
    public static final int MAX_UPDATE_BYTES = 3 << 20;

    public static final long DEFAULT_CONFIGURATION_BYTES = 12L << 20;

    public static final UpdateLimits DEFAULTS = new UpdateLimits(MAX_UPDATE_BYTES, DEFAULT_CONFIGURATION_BYTES);
}
