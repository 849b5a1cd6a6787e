package org.rowanvalve.testkit.soak;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The two kinds of networks. */
public enum SoakPlace {
    /** Two stores and a shield vote. */
    STORES,
    /** No stores: shields vote, each with a disk. */
    SHIELDS;

    /** The name on the command line and in plans. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** The place of that name, if there is one. */
    public static Optional<SoakPlace> of(final String label) {
        return Arrays.stream(values())
                .filter(place -> place.label().equals(label))
                .findFirst();
    }
}
