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
 * Reads the JSON text of an operator completely, so that every error is reported with its path in one pass. The text
 * must be valid under RFC 8259: the bytes are UTF-8, and only white space follows the value. In addition, duplicate
 * members and unpaired surrogates are errors, since neither can be returned as received.
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

    /** Parses JSON; returns null and adds an error if the text cannot be parsed. */
    public static Object read(final byte[] data, final List<ValidationError> errors) {
        try (JsonParser parser = FACTORY.createParser(decode(data))) {
            parser.nextToken();
            final Object value = new JsonReader(errors).readValue(parser, "", 0);
            if (hasTrailingText(parser)) {
                errors.add(new ValidationError("/", "text after the value"));
            }
            return value;
        } catch (final IOException e) {
            errors.add(new ValidationError("/", "not readable as JSON"));
            return null;
        }
    }

    /** Whether anything but white space follows the value, whether or not it is a valid token. */
    private static boolean hasTrailingText(final JsonParser parser) {
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

    /** Reads the value whose first token is the current token of the parser. */
    private Object readValue(final JsonParser parser, final String path, final int depth) throws IOException {
        if (depth > MAX_DEPTH) {
            throw new JsonParseException(parser, "nested too deeply");
        }
        final JsonToken token = parser.currentToken();
        if (token == null) {
            throw new JsonParseException(parser, "a value is missing");
        }
        return switch (token) {
            case VALUE_STRING -> checkedText(parser.getText(), path);
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> readNumber(parser, path);
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            case VALUE_NULL -> null;
            case START_ARRAY -> readArray(parser, path, depth);
            case START_OBJECT -> readObject(parser, path, depth);
            default -> throw new JsonParseException(parser, "a value is missing");
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
            final String memberPath = path + "/" + parser.currentName();
            final String name = checkedText(parser.currentName(), memberPath);
            parser.nextToken();
            final Object value = readValue(parser, memberPath, depth + 1);
            if (map.containsKey(name)) {
                errors.add(new ValidationError(memberPath, "member stated twice"));
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
            throw new JsonParseException(parser, "invalid number", e);
        }
    }
}
