package rv.data;

/**
 * One request for an origin. {@code shard}: whose right it needs, {@link #NONE} for one that needs none; {@code once}:
 * bytes sent are never sent again; {@code cutoff}: on this node's clock; {@code rank}: 0 is refused last; {@code tries}:
 * origins it may be sent to; {@code extra}: another node may have sent it before.
 */
public record OriginRequest(int shard, Port.Send what, boolean once, long cutoff, int rank, int tries, boolean extra) {
    public static final int NONE = -1;

    public OriginRequest(final int shard, final Port.Send what, final boolean once, final long cutoff) {
        this(shard, what, once, cutoff, 0, 3, false);
    }

    public String service() {
        return what.service();
    }
}
