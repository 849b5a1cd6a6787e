package org.rowanvalve.common;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;

/** Packs and unpacks the messages between processes as CBOR. */
public final class Wire {
    public static final int VERSION = 1;
    public static final int LIMIT = 4 << 20;
    private static final ObjectMapper MAP = make();

    private Wire() {}

    /** One frame: the format's version, the message's id, and the id of the message that it answers. */
    public record Envelope(int v, long id, long re, NodeId from, Msg msg) {}

    private static ObjectMapper make() {
        final CBORMapper map = CBORMapper.builder()
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .serializationInclusion(JsonInclude.Include.NON_NULL)
                .build();
        map.addMixIn(Msg.class, Typed.class);
        map.registerSubtypes(Msg.class.getPermittedSubclasses());
        return map;
    }

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
    private interface Typed {}

    public static byte[] pack(final Object o) {
        try {
            return MAP.writeValueAsBytes(o);
        } catch (final IOException e) {
            throw new IllegalStateException(e);
        }
    }

    public static <T> T unpack(final byte[] data, final Class<T> type) throws WireTrouble {
        try {
            return MAP.readValue(data, type);
        } catch (final IOException | IllegalArgumentException e) {
            throw new WireTrouble("cannot read a " + type.getSimpleName(), e);
        }
    }

    public static Envelope open(final byte[] data) throws WireTrouble {
        final Envelope e = unpack(data, Envelope.class);
        if (e.v() != VERSION) {
            throw new WireTrouble("envelope version " + e.v() + " is not spoken here", null);
        }
        if (e.msg() == null || e.from() == null) {
            throw new WireTrouble("envelope lacks a member", null);
        }
        return e;
    }
}
