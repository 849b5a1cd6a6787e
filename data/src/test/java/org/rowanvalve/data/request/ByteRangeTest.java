package org.rowanvalve.data.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.model.RequestOutcome;

class ByteRangeTest {
    private final ClientResponse whole = new ClientResponse(
            200, RequestOutcome.DONE, Map.of("etag", "v1"), "0123456789".getBytes(StandardCharsets.UTF_8));

    private String cut(final String wish) {
        final ClientResponse response = ByteRange.apply(whole, wish);
        return response.status() + " " + response.headers().get("Content-Range") + " "
                + new String(response.body(), StandardCharsets.UTF_8);
    }

    @Test
    void oneRangeThatNamesItsFirstByte() {
        assertEquals("206 bytes 2-4/10 234", cut("bytes=2-4"));
        assertEquals("206 bytes 7-9/10 789", cut("bytes=7-"));
        assertEquals("206 bytes 0-9/10 0123456789", cut("bytes=0-999999999999999"));
        assertEquals("206 bytes 9-9/10 9", cut(" bytes=9-9 "));
        assertEquals("416 bytes */10 ", cut("bytes=10-"));
        assertEquals("416 bytes */10 ", cut("bytes=999999999999999-"));
        assertEquals("v1", ByteRange.apply(whole, "bytes=1-1").headers().get("etag"));
    }

    @Test
    void anyOtherWishGetsTheWhole() {
        for (final String w :
                new String[] {null, "", "bytes=-3", "bytes=1-2,4-5", "bytes=4-2", "items=1-2", "bytes=a-", "bytes=1"}) {
            assertSame(whole, ByteRange.apply(whole, w), w);
        }
        final ClientResponse none = new ClientResponse(404, RequestOutcome.DONE, Map.of(), new byte[5]);
        assertSame(none, ByteRange.apply(none, "bytes=1-2"));
        assertEquals(
                416,
                ByteRange.apply(new ClientResponse(200, RequestOutcome.DONE, Map.of(), new byte[0]), "bytes=0-")
                        .status());
    }
}
