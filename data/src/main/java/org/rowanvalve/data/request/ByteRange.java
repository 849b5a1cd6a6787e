package org.rowanvalve.data.request;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One range of a complete response, where its first byte is named; any other Range header gets the whole, as HTTP
 * allows.
 */
public final class ByteRange {
    private static final Pattern SINGLE_RANGE = Pattern.compile("bytes=([0-9]{1,15})-([0-9]{0,15})");

    private ByteRange() {}

    /** The requested part with 206 or 416, or the whole where the header names no single range. */
    public static ClientResponse apply(final ClientResponse whole, final String requested) {
        final Matcher matcher =
                requested == null || whole.status() != 200 ? null : SINGLE_RANGE.matcher(requested.trim());
        if (matcher == null || !matcher.matches()) {
            return whole;
        }
        final int size = whole.body().length;
        final long from = Long.parseLong(matcher.group(1));
        final long last = matcher.group(2).isEmpty() ? size - 1 : Math.min(size - 1, Long.parseLong(matcher.group(2)));
        final Map<String, String> headers = new TreeMap<>(whole.headers());
        if (from >= size) {
            headers.put("Content-Range", "bytes */" + size);
            return new ClientResponse(416, whole.fate(), headers, new byte[0]);
        }
        if (last < from) {
            return whole;
        }
        headers.put("Content-Range", "bytes " + from + "-" + last + "/" + size);
        return new ClientResponse(
                206, whole.fate(), headers, Arrays.copyOfRange(whole.body(), (int) from, (int) last + 1));
    }
}
