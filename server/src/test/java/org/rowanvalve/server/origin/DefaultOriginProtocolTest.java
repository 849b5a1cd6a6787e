package org.rowanvalve.server.origin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.model.Hash;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.control.config.ServiceKind;
import org.rowanvalve.data.origin.OriginTransport;

/** The product's own origin contract, docs/ORIGINS.md. */
class DefaultOriginProtocolTest {
    private static final Origin TO = new Origin("s", "10.0.0.1", 80, "stamp1", ServiceKind.CONTENT, 0, 0, false, 1);
    private final DefaultOriginProtocol own = new DefaultOriginProtocol();
    private final OriginTransport.OutboundRequest request = new OriginTransport.OutboundRequest(
            "s", "POST", "/x", "id1", "k1", new byte[0], null, 900, Map.of("Accept-Language", "sw"));

    @Test
    void aRequestNamesItselfItsOriginAndItsKey() {
        final Map<String, String> heads = new TreeMap<>();
        own.writeHeaders(TO, request, heads::put);
        assertEquals(Map.of("Rv-Request", "id1", "Rv-Service", "s", "Rv-Stamp", "stamp1", "Rv-Key", "k1"), heads);
        heads.clear();
        own.writeHeaders(
                TO, new OriginTransport.OutboundRequest("s", "GET", "/x", "id1", null, null, null, 900), heads::put);
        assertEquals(3, heads.size());
        assertTrue(own.asksForIdentity());
    }

    @Test
    void anAnswerTellsItsTagsAndMustProveItself() {
        final byte[] body = {1, 2, 3};
        final Map<String, String> heads = Map.of(
                "rv-stamp",
                "stamp1",
                "rv-request",
                "id1",
                "rv-digest",
                Hash.sha256Hex(body),
                "content-length",
                "3",
                "rv-tags",
                " drinks  perfume ");
        final OriginTransport.OriginResponse response = own.read(TO, request, 200, heads, body);
        assertEquals(List.of("drinks", "perfume"), response.tags());
        assertEquals(OriginTransport.ExchangeResult.COMPLETE, response.result());
        assertEquals("", own.error(TO, request, response));
        assertEquals("digest differs", own.error(TO, request, own.read(TO, request, 200, heads, new byte[3])));
        assertEquals(List.of(), own.read(TO, request, 200, Map.of(), body).tags());
    }
}
