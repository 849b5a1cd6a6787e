package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.nio.charset.StandardCharsets;

/** One register: {@code body} is JSON text, {@code writeId} names the write that made this version. */
public record Item(
        ItemId id,
        @JsonProperty("ver") Version version,
        String body,
        @JsonProperty("gone") boolean deleted,
        @JsonProperty("tag") String writeId) {

    public static Item none(final ItemId id) {
        return new Item(id, Version.ZERO, "", true, "");
    }

    public Item successor(final String text, final String write) {
        return new Item(id, version.next(), text, false, write);
    }

    public Item tombstone(final String write) {
        return new Item(id, version.next(), id.kind() == ItemKind.PURGE ? body : "", true, write);
    }

    public boolean exists() {
        return !deleted;
    }

    public long checksum() {
        return Hash.hash64(id.text() + "@" + version.number());
    }

    public int approximateBytes() {
        return body.getBytes(StandardCharsets.UTF_8).length + id.name().length() + 64;
    }
}
