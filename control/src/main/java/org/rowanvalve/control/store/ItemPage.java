package org.rowanvalve.control.store;

import java.util.ArrayList;
import java.util.List;
import org.rowanvalve.common.message.ChosenItem;

/**
 * As many of the requested items as fit into one message. A page contains at least one item if there are any, so that
 * repeated requests make progress. {@code complete} tells whether the page contains all of them.
 */
public record ItemPage(List<ChosenItem> items, boolean complete) {
    /** Page size in bytes; a page and one more item of the maximum size fit into a message. */
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
