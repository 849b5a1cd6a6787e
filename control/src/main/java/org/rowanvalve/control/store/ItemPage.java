package org.rowanvalve.control.store;

import java.util.ArrayList;
import java.util.List;
import org.rowanvalve.common.message.ChosenItem;

/**
 * As many of some items as one message may bear: at least one where there is any, so that whoever asks again gets on;
 * {@code complete}: whether these are all.
 */
public record ItemPage(List<ChosenItem> items, boolean complete) {
    /** Small enough that a page and one more item of the largest size fit into a message. */
    static final int PAGE_BYTES = 512 << 10;

    public static ItemPage of(final Iterable<ChosenItem> candidates) {
        final List<ChosenItem> items = new ArrayList<>();
        int bytes = 0;
        for (final ChosenItem chosen : candidates) {
            bytes += chosen.item().approximateBytes();
            if (bytes > PAGE_BYTES && !items.isEmpty()) {
                return new ItemPage(items, false);
            }
            items.add(chosen);
        }
        return new ItemPage(items, true);
    }
}
