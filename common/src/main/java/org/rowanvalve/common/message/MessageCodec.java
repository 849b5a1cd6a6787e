package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import org.rowanvalve.common.model.NodeId;

/** Encodes and decodes the messages between processes as CBOR. */
public final class MessageCodec {
    public static final int PROTOCOL_VERSION = 1;
    public static final int MAX_FRAME_BYTES = 4 << 20;
    private static final ObjectMapper MAPPER = createMapper();

    private MessageCodec() {}

    /** The envelope of a message. {@code inReplyTo} is the id of the request to which the message responds. */
    public record Frame(
            @JsonProperty("v") int version,
            long id,
            @JsonProperty("re") long inReplyTo,
            NodeId from,
            @JsonProperty("msg") Message message) {}

    private static ObjectMapper createMapper() {
        final CBORMapper mapper = CBORMapper.builder()
                .disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .defaultPropertyInclusion(
                        JsonInclude.Value.construct(JsonInclude.Include.NON_NULL, JsonInclude.Include.NON_NULL))
                .build();
        mapper.addMixIn(Message.class, Typed.class);
        mapper.registerSubtypes(Message.class.getPermittedSubclasses());
        return mapper;
    }

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
    private interface Typed {}

    public static byte[] encode(final Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (final IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Decodes a value that {@link #encode} encoded. */
    public static <T> T decode(final byte[] data, final Class<T> type) throws MessageFormatException {
        try {
            return MAPPER.readValue(data, type);
        } catch (final IOException | IllegalArgumentException e) {
            throw new MessageFormatException("cannot read a " + type.getSimpleName(), e);
        }
    }

    /** Decodes the envelope with its message. */
    public static Frame decodeFrame(final byte[] data) throws MessageFormatException {
        final Frame frame = decode(data, Frame.class);
        if (frame.version() != PROTOCOL_VERSION) {
            throw new MessageFormatException("unsupported envelope version " + frame.version(), null);
        }
        if (frame.message() == null || frame.from() == null) {
            throw new MessageFormatException("envelope lacks a member", null);
        }
        return frame;
    }
}
