package org.rowanvalve.common.message;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.FencingToken;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.NodeId;

class MessageCodecTest {
    private static final ItemId ID = new ItemId(ItemKind.ROUTE, "stock");

    @Test
    void aMessageComesBackAsItWent() throws MessageFormatException {
        final Message msg = new LearnNotification(
                List.of(new ChosenItem(new Ballot(3, "st1#x"), Item.none(ID).successor("{}", "tag"))));
        final MessageCodec.Frame got =
                MessageCodec.decodeFrame(MessageCodec.encode(new MessageCodec.Frame(1, 7, 0, NodeId.of("st1"), msg)));
        assertEquals(msg, got.message());
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
                new DigestRequest(0, 5),
                MessageCodec.decodeFrame(map.writeValueAsBytes(later)).message());
        final Map<String, Object> odd = Map.of("v", 1, "id", 1, "re", 0, "from", "st1", "msg", Map.of("t", "Sing"));
        assertThrows(MessageFormatException.class, () -> MessageCodec.decodeFrame(map.writeValueAsBytes(odd)));
    }

    @Test
    void anEnvelopeOfAnotherVersionOrCutShortIsTrouble() {
        final byte[] next = MessageCodec.encode(new MessageCodec.Frame(2, 1, 0, NodeId.of("st1"), new AckResponse()));
        assertThrows(MessageFormatException.class, () -> MessageCodec.decodeFrame(next));
        final byte[] whole = MessageCodec.encode(new MessageCodec.Frame(1, 1, 0, NodeId.of("st1"), new AckResponse()));
        assertThrows(
                MessageFormatException.class,
                () -> MessageCodec.decodeFrame(java.util.Arrays.copyOf(whole, whole.length - 3)));
    }

    @Test
    void tokensRiseAcrossTermsAndNeverFall() {
        final FencingToken a = new FencingToken(1, 4);
        assertTrue(a.isBelow(a.next(1)));
        assertTrue(a.next(1).isBelow(a.next(2)));
        assertTrue(
                new FencingToken(3, 9).isBelow(new FencingToken(3, 9).next(1)),
                "a lower term must not lower the token");
        assertEquals(a, FencingToken.parse(a.toString()));
    }
}
