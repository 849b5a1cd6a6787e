package org.rowanvalve.data.request;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Serves a single byte range whose first byte position is given. Any other Range header is ignored, as HTTP allows, and
 * the complete response is returned.
 */
public final class ByteRange {
    private static final Pattern SINGLE_RANGE = Pattern.compile("bytes=([0-9]{1,15})-([0-9]{0,15})");

    private ByteRange() {}

    /**
     * Returns the requested part with status 206, status 416, or the complete response if the range is not supported.
     */
    public static ClientResponse apply(final ClientResponse complete, final String rangeHeader) {
        final Matcher matcher =
                rangeHeader == null || complete.status() != 200 ? null : SINGLE_RANGE.matcher(rangeHeader.trim());
        if (matcher == null || !matcher.matches()) {
            return complete;
        }
        final int size = complete.body().length;
        final long from = Long.parseLong(matcher.group(1));
        final long last = matcher.group(2).isEmpty() ? size - 1 : Math.min(size - 1, Long.parseLong(matcher.group(2)));
        final Map<String, String> headers = new TreeMap<>(complete.headers());
        if (from >= size) {
            headers.put("Content-Range", "bytes */" + size);
            return new ClientResponse(416, complete.fate(), headers, new byte[0]);
        }
        if (last < from) {
            return complete;
        }
        headers.put("Content-Range", "bytes " + from + "-" + last + "/" + size);
        return new ClientResponse(
                206, complete.fate(), headers, Arrays.copyOfRange(complete.body(), (int) from, (int) last + 1));
    }
}
