package org.rowanvalve.common;

/** D, M, the greatest age of a frame, and the beats derived from them, in milliseconds. */
public record Timing(long d, long m, long fresh) {
    public static final Timing DEFAULT = new Timing(3000, 1000);

    public Timing {
        if (fresh < 200) {
            throw new IllegalArgumentException("a frame's age below 200");
        }
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

    public Timing(final long d, final long m) {
        this(d, m, 1500);
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
}
