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
     * Returns the requested part with status 206, status 416, or the complete response if the range is not supported or
     * belongs to another version of the object.
     *
     * @param rangeHeader the value of the Range header, or null
     * @param ifRangeHeader the value of the If-Range header, or null
     */
    public static ClientResponse apply(
            final ClientResponse complete, final String rangeHeader, final String ifRangeHeader) {
        final boolean isOfThisVersion =
                ifRangeHeader == null || ifRangeHeader.trim().equals(entityTag(complete));
        final Matcher matcher = rangeHeader == null || complete.status() != 200 || !isOfThisVersion
                ? null
                : SINGLE_RANGE.matcher(rangeHeader.trim());
        if (matcher == null || !matcher.matches()) {
            return complete;
        }
        final int size = complete.body().length;
        final long from = Long.parseLong(matcher.group(1));
        final long last = matcher.group(2).isEmpty() ? size - 1 : Math.min(size - 1, Long.parseLong(matcher.group(2)));
        if (from >= size) {
            return new ClientResponse(416, complete.fate(), Map.of("Content-Range", "bytes */" + size), new byte[0]);
        }
        if (last < from) {
            return complete;
        }
        final Map<String, String> headers = new TreeMap<>(complete.headers());
        headers.put("Content-Range", "bytes " + from + "-" + last + "/" + size);
        return new ClientResponse(
                206, complete.fate(), headers, Arrays.copyOfRange(complete.body(), (int) from, (int) last + 1));
    }

    /** The strong entity tag of a response, or null; a weak one identifies no bytes. */
    private static String entityTag(final ClientResponse response) {
        return response.headers().entrySet().stream()
                .filter(header -> header.getKey().equalsIgnoreCase("ETag"))
                .map(Map.Entry::getValue)
                .filter(tag -> !tag.startsWith("W/"))
                .findFirst()
                .orElse(null);
    }
}
