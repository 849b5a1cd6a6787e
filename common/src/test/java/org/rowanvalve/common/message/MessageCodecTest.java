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
    void messageSurvivesEncodingAndDecoding() throws MessageFormatException {
        final Message message = new LearnNotification(
                List.of(new ChosenItem(new Ballot(3, "st1#x"), Item.none(ID).successor("{}", "tag"))));
        final MessageCodec.Frame frame = MessageCodec.decodeFrame(
                MessageCodec.encode(new MessageCodec.Frame(1, 7, 0, NodeId.of("st1"), message)));
        assertEquals(message, frame.message());
        assertEquals(7, frame.id());
    }

    @Test
    void unknownMembersAreIgnoredAndUnknownTypesAreRejected() throws Exception {
        final CBORMapper mapper = new CBORMapper();
        final Map<String, Object> extendedFrame = Map.of(
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
                MessageCodec.decodeFrame(mapper.writeValueAsBytes(extendedFrame))
                        .message());
        final Map<String, Object> unknownTypeFrame =
                Map.of("v", 1, "id", 1, "re", 0, "from", "st1", "msg", Map.of("t", "Sing"));
        assertThrows(
                MessageFormatException.class,
                () -> MessageCodec.decodeFrame(mapper.writeValueAsBytes(unknownTypeFrame)));
    }

    @Test
    void frameOfAnotherVersionOrTruncatedFrameIsRejected() {
        final byte[] nextVersion =
                MessageCodec.encode(new MessageCodec.Frame(2, 1, 0, NodeId.of("st1"), new AckResponse()));
        assertThrows(MessageFormatException.class, () -> MessageCodec.decodeFrame(nextVersion));
        final byte[] complete =
                MessageCodec.encode(new MessageCodec.Frame(1, 1, 0, NodeId.of("st1"), new AckResponse()));
        assertThrows(
                MessageFormatException.class,
                () -> MessageCodec.decodeFrame(java.util.Arrays.copyOf(complete, complete.length - 3)));
    }

    @Test
    void fencingTokensIncreaseAcrossTermsAndNeverDecrease() {
        final FencingToken token = new FencingToken(1, 4);
        assertTrue(token.isBelow(token.next(1)));
        assertTrue(token.next(1).isBelow(token.next(2)));
        assertTrue(
                new FencingToken(3, 9).isBelow(new FencingToken(3, 9).next(1)),
                "a lower term must not lower the token");
        assertEquals(token, FencingToken.parse(token.toString()));
    }
}
