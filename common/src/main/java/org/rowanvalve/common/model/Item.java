package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.nio.charset.StandardCharsets;

/**
 * The state of one register.
 *
 * @param body JSON text
 * @param writeId the identity of the write that created this version
 */
public record Item(
        ItemId id,
        @JsonProperty("ver") Version version,
        String body,
        @JsonProperty("gone") boolean deleted,
        @JsonProperty("tag") String writeId) {
    /**
     * The size limit of an item in bytes, which keeps each message that carries an item below the limit of messages.
     */
    public static final int MAX_BYTES = 7 << 19;

    private static final int ESTIMATED_OVERHEAD_BYTES = 64;

    /** Returns the state of an item that was never written: version 0, without a body. */
    public static Item none(final ItemId id) {
        return new Item(id, Version.ZERO, "", true, "");
    }

    /** Returns the next version, with this body. */
    public Item successor(final String text, final String newWriteId) {
        return new Item(id, version.next(), text, false, newWriteId);
    }

    /**
     * Returns the next version, deleted. A purge keeps its body, because cached copies older than the purge must stay
     * invalid.
     */
    public Item tombstone(final String newWriteId) {
        return new Item(id, version.next(), id.kind() == ItemKind.PURGE ? body : "", true, newWriteId);
    }

    public boolean exists() {
        return !deleted;
    }

    public long checksum() {
        return Hash.hash64(id.text() + "@" + version.number());
    }

    /** Returns the approximate size of the item in a message, in bytes. */
    public int approximateBytes() {
        return body.getBytes(StandardCharsets.UTF_8).length + id.name().length() + ESTIMATED_OVERHEAD_BYTES;
    }
}
