package org.rowanvalve.control.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** Reads and writes the JSON bodies of items. */
public final class Json {
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
            .build();

    private Json() {}

    public static String write(final Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Reads a body that this project wrote and validated itself. */
    public static <T> T read(final String text, final Class<T> type) {
        try {
            return MAPPER.readValue(text, type);
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException("stored JSON cannot be parsed", e);
        }
    }
}
