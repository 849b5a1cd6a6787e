package org.rowanvalve.common;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class WireTest {
    private static final ItemId ID = new ItemId(Kind.ROUTE, "stock");

    @Test
    void aMessageComesBackAsItWent() throws WireTrouble {
        final Msg msg = new Msg.Learn(
                List.of(new Msg.Chosen(new Ballot(3, "st1#x"), Item.none(ID).next("{}", "tag"))));
        final Wire.Envelope got = Wire.open(Wire.pack(new Wire.Envelope(1, 7, 0, NodeId.of("st1"), msg)));
        assertEquals(msg, got.msg());
        assertEquals(7, got.id());
    }

    @Test
    void unknownMembersAreIgnoredAndUnknownTypesAreNot() throws Exception {
        final CBORMapper map = new CBORMapper();
        final Map<String, Object> later = Map.of(
                "v",
                1,
                "id",
                1,
                "re",
                0,
                "from",
                "st1",
                "hue",
                "red",
                "msg",
                Map.of("t", "Query", "hash", 5, "depth", 9));
        assertEquals(
                new Msg.Query(0, 5), Wire.open(map.writeValueAsBytes(later)).msg());
        final Map<String, Object> odd = Map.of("v", 1, "id", 1, "re", 0, "from", "st1", "msg", Map.of("t", "Sing"));
        assertThrows(WireTrouble.class, () -> Wire.open(map.writeValueAsBytes(odd)));
    }

    @Test
    void anEnvelopeOfAnotherVersionOrCutShortIsTrouble() {
        final byte[] next = Wire.pack(new Wire.Envelope(2, 1, 0, NodeId.of("st1"), new Msg.Ok()));
        assertThrows(WireTrouble.class, () -> Wire.open(next));
        final byte[] whole = Wire.pack(new Wire.Envelope(1, 1, 0, NodeId.of("st1"), new Msg.Ok()));
        assertThrows(WireTrouble.class, () -> Wire.open(java.util.Arrays.copyOf(whole, whole.length - 3)));
    }

    @Test
    void tokensRiseAcrossTermsAndNeverFall() {
        final Token a = new Token(1, 4);
        assertTrue(a.below(a.rise(1)));
        assertTrue(a.rise(1).below(a.rise(2)));
        assertTrue(new Token(3, 9).below(new Token(3, 9).rise(1)), "a lower term must not lower the token");
        assertEquals(a, Token.parse(a.toString()));
    }
}
