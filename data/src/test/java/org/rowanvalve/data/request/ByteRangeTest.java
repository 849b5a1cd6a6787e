package org.rowanvalve.data.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.model.RequestOutcome;

class ByteRangeTest {
    private final ClientResponse complete = new ClientResponse(
            200, RequestOutcome.DONE, Map.of("etag", "v1"), "0123456789".getBytes(StandardCharsets.UTF_8));

    private String apply(final String rangeHeader) {
        final ClientResponse response = ByteRange.apply(complete, rangeHeader, null);
        return response.status() + " " + response.headers().get("Content-Range") + " "
                + new String(response.body(), StandardCharsets.UTF_8);
    }

    @Test
    void singleRangeWithAFirstByteIsServed() {
        assertEquals("206 bytes 2-4/10 234", apply("bytes=2-4"));
        assertEquals("206 bytes 7-9/10 789", apply("bytes=7-"));
        assertEquals("206 bytes 0-9/10 0123456789", apply("bytes=0-999999999999999"));
        assertEquals("206 bytes 9-9/10 9", apply(" bytes=9-9 "));
        assertEquals("416 bytes */10 ", apply("bytes=10-"));
        assertEquals("416 bytes */10 ", apply("bytes=999999999999999-"));
        assertEquals(
                "v1", ByteRange.apply(complete, "bytes=1-1", null).headers().get("etag"));
    }

    @Test
    void anyOtherRangeHeaderGetsTheCompleteResponse() {
        for (final String rangeHeader :
                new String[] {null, "", "bytes=-3", "bytes=1-2,4-5", "bytes=4-2", "items=1-2", "bytes=a-", "bytes=1"}) {
            assertSame(complete, ByteRange.apply(complete, rangeHeader, null), rangeHeader);
        }
        final ClientResponse notFound = new ClientResponse(404, RequestOutcome.DONE, Map.of(), new byte[5]);
        assertSame(notFound, ByteRange.apply(notFound, "bytes=1-2", null));
        assertEquals(
                416,
                ByteRange.apply(new ClientResponse(200, RequestOutcome.DONE, Map.of(), new byte[0]), "bytes=0-", null)
                        .status());
    }

    /** Guards against a part of one version that a client joins to parts of another one. */
    @Test
    void aRangeOfAnotherVersionGetsTheCompleteResponse() {
        assertEquals(206, ByteRange.apply(complete, "bytes=2-4", "v1").status());
        assertSame(complete, ByteRange.apply(complete, "bytes=2-4", "v0"));
        assertSame(complete, ByteRange.apply(complete, "bytes=2-4", "Sun, 06 Dec 2026 08:00:00 GMT"));
        final ClientResponse weak =
                new ClientResponse(200, RequestOutcome.DONE, Map.of("ETag", "W/\"1\""), new byte[5]);
        assertSame(weak, ByteRange.apply(weak, "bytes=1-2", "W/\"1\""));
    }

    /** Guards against failures that bear what an origin said of its success. */
    @Test
    void aRangeBeyondTheEndBearsNoHeaderOfTheCompleteResponse() {
        assertEquals(
                Map.of("Content-Range", "bytes */10"),
                ByteRange.apply(complete, "bytes=10-", null).headers());
    }
}
