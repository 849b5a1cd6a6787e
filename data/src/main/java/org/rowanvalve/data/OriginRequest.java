package org.rowanvalve.data;

/**
 * One request for an origin. {@code shard}: whose right it needs, {@link #NONE} for one that needs none; {@code once}:
 * bytes sent are never sent again; {@code cutoff}: on this node's clock; {@code rank}: 0 is refused last; {@code attempts}:
 * origins it may be sent to; {@code extra}: an origin may have got it before, from here or from another node.
 */
public record OriginRequest(
        int shard, Port.Send what, boolean once, long cutoff, int rank, AttemptAllowance attempts, boolean extra) {
    public static final int NONE = -1;

    public OriginRequest(final int shard, final Port.Send what, final boolean once, final long cutoff) {
        this(shard, what, once, cutoff, 0, 3, false);
    }

    public OriginRequest(
            final int shard,
            final Port.Send what,
            final boolean once,
            final long cutoff,
            final int rank,
            final int tries,
            final boolean extra) {
        this(shard, what, once, cutoff, rank, AttemptAllowance.of(tries), extra);
    }

    public String service() {
        return what.service();
    }
}
