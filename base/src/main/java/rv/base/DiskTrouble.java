package rv.base;

public final class DiskTrouble extends Exception {
    public DiskTrouble(final String text, final Throwable why) {
        super(text, why);
    }
}
