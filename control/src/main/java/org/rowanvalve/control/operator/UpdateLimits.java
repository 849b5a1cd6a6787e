package org.rowanvalve.control.operator;

/**
 * What operators' updates may take up as stored, in bytes: the items of one update, at most {@link #MAX_UPDATE_BYTES};
 * and all that operators have set and dropped, which every node holds in memory.
 */
public record UpdateLimits(int updateBytes, long configurationBytes) {
    /** The largest update that the ledger has room for beside what it remembers. */
    public static final int MAX_UPDATE_BYTES = 3 << 20;

    public static final long DEFAULT_CONFIGURATION_BYTES = 12L << 20;

    public static final UpdateLimits DEFAULTS = new UpdateLimits(MAX_UPDATE_BYTES, DEFAULT_CONFIGURATION_BYTES);
}
