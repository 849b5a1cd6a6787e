package rv.base;

/** D, M and the beats derived from them, in milliseconds. */
public record Timing(long d, long m) {
    public static final Timing DEFAULT = new Timing(3000, 1000);

    public Timing {
        if (d < 3000) {
            throw new IllegalArgumentException("D below 3000");
        }
        if (m < Math.max(1000, d / 10)) {
            throw new IllegalArgumentException("M below max(1000, D/10)");
        }
        if (d - m < 2 * (d / 3)) {
            throw new IllegalArgumentException("M leaves no room for a second renewal");
        }
    }

    public long renew() {
        return d / 3;
    }

    public long valid(final long sent) {
        return sent + d - m;
    }

    public long gate(final long granted) {
        return granted + d + 2 * m;
    }

    /** Tenure is a lease of its own: how long one renewal lasts, and the margin within it. */
    public long reign() {
        return 1600;
    }

    public long slack() {
        return 450;
    }

    public long beat() {
        return 500;
    }

    public long lost() {
        return 2000;
    }

    public long fresh() {
        return 1500;
    }
}
