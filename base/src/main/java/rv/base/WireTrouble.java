package rv.base;

public final class WireTrouble extends Exception {
    public WireTrouble(final String text, final Throwable why) {
        super(text, why);
    }
}
