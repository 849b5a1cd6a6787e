package org.rowanvalve.common;

import java.nio.charset.StandardCharsets;

/** One register: {@code body} is JSON text, {@code tag} names the write that made this version. */
public record Item(ItemId id, Ver ver, String body, boolean gone, String tag) {

    public static Item none(final ItemId id) {
        return new Item(id, Ver.ZERO, "", true, "");
    }

    public Item next(final String text, final String mark) {
        return new Item(id, ver.next(), text, false, mark);
    }

    public Item grave(final String mark) {
        return new Item(id, ver.next(), id.kind() == Kind.PURGE ? body : "", true, mark);
    }

    public boolean live() {
        return !gone;
    }

    public long mix() {
        return Hash.mix(id.text() + "@" + ver.n());
    }

    public int size() {
        return body.getBytes(StandardCharsets.UTF_8).length + id.name().length() + 64;
    }
}
