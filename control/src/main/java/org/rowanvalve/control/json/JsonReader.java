package org.rowanvalve.control.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.math.BigDecimal;
import java.nio.ByteBuffer;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.rowanvalve.common.model.ValidationError;

/**
 * Reads operators' JSON whole, so that every fault is found with its path in one pass. What RFC 8259 calls no JSON text
 * is refused: the bytes are UTF-8, and only white space follows the value. Beyond that, a member that is stated twice
 * and half a surrogate pair are faults, since neither can be given back as it came.
 */
public final class JsonReader {
    private static final int MAX_DEPTH = 16;
    private static final int MAX_NUMBER_DIGITS = 40;
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
            .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
            .build();

    private final List<ValidationError> errors;

    private JsonReader(final List<ValidationError> errors) {
        this.errors = errors;
    }

    /** Parses JSON; null with an error where it cannot be parsed. */
    public static Object read(final byte[] data, final List<ValidationError> faults) {
        try (JsonParser parser = FACTORY.createParser(decode(data))) {
            parser.nextToken();
            final Object value = new JsonReader(faults).readValue(parser, "", 0);
            if (hasMore(parser)) {
                faults.add(new ValidationError("/", "text after the value"));
            }
            return value;
        } catch (final IOException e) {
            faults.add(new ValidationError("/", "not readable as JSON"));
            return null;
        }
    }

    /** Whether anything but white space follows, a token or not. */
    private static boolean hasMore(final JsonParser parser) {
        try {
            return parser.nextToken() != null;
        } catch (final IOException e) {
            return true;
        }
    }

    private static String decode(final byte[] data) throws IOException {
        return StandardCharsets.UTF_8
                .newDecoder()
                .onMalformedInput(CodingErrorAction.REPORT)
                .onUnmappableCharacter(CodingErrorAction.REPORT)
                .decode(ByteBuffer.wrap(data))
                .toString();
    }

    /** The value whose first token is the parser's present one. */
    private Object readValue(final JsonParser parser, final String path, final int depth) throws IOException {
        if (depth > MAX_DEPTH) {
            throw new JsonParseException(parser, "too deep");
        }
        final JsonToken token = parser.currentToken();
        if (token == null) {
            throw new JsonParseException(parser, "no value");
        }
        return switch (token) {
            case VALUE_STRING -> checkedText(parser.getText(), path);
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> readNumber(parser, path);
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            case VALUE_NULL -> null;
            case START_ARRAY -> readArray(parser, path, depth);
            case START_OBJECT -> readObject(parser, path, depth);
            default -> throw new JsonParseException(parser, "no value");
        };
    }

    private List<Object> readArray(final JsonParser parser, final String path, final int depth) throws IOException {
        final List<Object> list = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            list.add(readValue(parser, path + "/" + list.size(), depth + 1));
        }
        return list;
    }

    private Map<String, Object> readObject(final JsonParser parser, final String path, final int depth)
            throws IOException {
        final Map<String, Object> map = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            final String at = path + "/" + parser.currentName();
            final String name = checkedText(parser.currentName(), at);
            parser.nextToken();
            final Object value = readValue(parser, at, depth + 1);
            if (map.containsKey(name)) {
                errors.add(new ValidationError(at, "member stated twice"));
            }
            map.put(name, value);
        }
        return map;
    }

    private String checkedText(final String text, final String path) {
        if (!StandardCharsets.UTF_8.newEncoder().canEncode(text)) {
            errors.add(new ValidationError(path, "half a surrogate pair"));
        }
        return text;
    }

    private BigDecimal readNumber(final JsonParser parser, final String path) throws IOException {
        try {
            final BigDecimal number = new BigDecimal(parser.getText());
            if (Math.abs((long) number.scale()) + number.precision() > MAX_NUMBER_DIGITS) {
                errors.add(new ValidationError(path, "number out of range"));
                return BigDecimal.ZERO;
            }
            return number;
        } catch (final NumberFormatException e) {
            throw new JsonParseException(parser, "bad number", e);
        }
    }
}
