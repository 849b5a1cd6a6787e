package rv.base;

import java.util.Locale;
import java.util.Optional;

/** The kinds of replicated items. */
public enum Kind {
    ROUTE,
    SERVICE,
    PURGE,
    ORIGIN,
    PLAN,
    TENURE,
    SWEEP,
    LIMIT,
    /** Which number of each item was taken with which body; written by the order sequencer only. */
    LEDGER,
    VOTERS;

    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Versions of such a kind come from one count for all its items. */
    public boolean rising() {
        return this == PURGE || this == ORIGIN;
    }

    public boolean stated() {
        return this == ROUTE || this == SERVICE || this == PURGE || this == LIMIT;
    }

    public static Optional<Kind> of(final String word) {
        for (final Kind k : values()) {
            if (k.word().equals(word) || (k.word() + "s").equals(word)) {
                return Optional.of(k);
            }
        }
        return Optional.empty();
    }
}
