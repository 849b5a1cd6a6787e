package org.rowanvalve.data;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One part of a whole copy, where its first byte is named; any other wish gets the whole, as HTTP allows. */
final class Range {
    private static final Pattern ONE = Pattern.compile("bytes=([0-9]{1,15})-([0-9]{0,15})");

    private Range() {}

    static Answer cut(final Answer whole, final String wish) {
        final Matcher m = wish == null || whole.status() != 200 ? null : ONE.matcher(wish.trim());
        if (m == null || !m.matches()) {
            return whole;
        }
        final int size = whole.body().length;
        final long from = Long.parseLong(m.group(1));
        final long to = m.group(2).isEmpty() ? size - 1 : Math.min(size - 1, Long.parseLong(m.group(2)));
        final Map<String, String> heads = new TreeMap<>(whole.heads());
        if (from >= size) {
            heads.put("Content-Range", "bytes */" + size);
            return new Answer(416, whole.fate(), heads, new byte[0]);
        }
        if (to < from) {
            return whole;
        }
        heads.put("Content-Range", "bytes " + from + "-" + to + "/" + size);
        return new Answer(206, whole.fate(), heads, Arrays.copyOfRange(whole.body(), (int) from, (int) to + 1));
    }
}
