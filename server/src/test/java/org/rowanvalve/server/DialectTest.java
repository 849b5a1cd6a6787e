package org.rowanvalve.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.Hash;
import org.rowanvalve.control.Origin;
import org.rowanvalve.data.Port;

/** The product's own origin contract, docs/ORIGINS.md. */
class DialectTest {
    private static final Origin TO = new Origin("s", "10.0.0.1", 80, "stamp1", "content", 0, 0, false, 1);
    private final OwnDialect own = new OwnDialect();
    private final Port.Send what =
            new Port.Send("s", "POST", "/x", "id1", "k1", new byte[0], null, 900, Map.of("Accept-Language", "sw"));

    @Test
    void aRequestNamesItselfItsOriginAndItsKey() {
        final Map<String, String> heads = new TreeMap<>();
        own.heads(TO, what, heads::put);
        assertEquals(Map.of("Rv-Request", "id1", "Rv-Service", "s", "Rv-Stamp", "stamp1", "Rv-Key", "k1"), heads);
        heads.clear();
        own.heads(TO, new Port.Send("s", "GET", "/x", "id1", null, null, null, 900), heads::put);
        assertEquals(3, heads.size());
        assertTrue(own.introduces());
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
                Hash.digest(body),
                "content-length",
                "3",
                "rv-tags",
                " drinks  perfume ");
        final Port.Got got = own.read(TO, what, 200, heads, body);
        assertEquals(List.of("drinks", "perfume"), got.tags());
        assertEquals(Port.End.WHOLE, got.end());
        assertEquals("", own.fault(TO, what, got));
        assertEquals("digest differs", own.fault(TO, what, own.read(TO, what, 200, heads, new byte[3])));
        assertEquals(List.of(), own.read(TO, what, 200, Map.of(), body).tags());
    }
}
