package org.rowanvalve.control.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.control.json.Json;

/**
 * The limits on a client's request: sizes in bytes, time-outs in milliseconds.
 *
 * @param note free text of the operator
 */
public record RequestLimits(
        @JsonProperty("headBytes") int headerBytes,
        int bodyBytes,
        @JsonProperty("headMs") long headerTimeoutMs,
        @JsonProperty("idleMs") long idleTimeoutMs,
        String note) {
    public static final ItemId ID = new ItemId(ItemKind.LIMIT, "limits");
    public static final RequestLimits DEFAULTS = new RequestLimits(8192, 1 << 20, 30_000, 30_000, "");

    public RequestLimits {
        note = note == null ? "" : note;
    }

    /** Returns the limits in the item, or the defaults if the item does not exist. */
    public static RequestLimits of(final Item item) {
        return Optional.of(item)
                .filter(Item::exists)
                .map(existing -> Json.read(existing.body(), RequestLimits.class))
                .orElse(DEFAULTS);
    }
}
