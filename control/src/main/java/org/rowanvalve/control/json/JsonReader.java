package org.rowanvalve.control.json;

import com.jsoniter.JsonIterator;
import com.jsoniter.ValueType;
import com.jsoniter.spi.JsonException;
import java.io.IOException;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.rowanvalve.common.model.ValidationError;

/** Reads operators' JSON whole, so that every fault is found with its path in one pass. */
public final class JsonReader {
    private static final int MAX_DEPTH = 16;
    private final List<ValidationError> errors;

    private JsonReader(final List<ValidationError> errors) {
        this.errors = errors;
    }

    /** Parses JSON; null with an error where it cannot be parsed. */
    public static Object read(final byte[] data, final List<ValidationError> faults) {
        final JsonIterator input = JsonIterator.parse(data.length == 0 ? " ".getBytes(StandardCharsets.UTF_8) : data);
        try {
            final Object value = new JsonReader(faults).readValue(input, "", 0);
            boolean rest = false;
            try {
                rest = input.whatIsNext() != ValueType.INVALID;
            } catch (final JsonException | IOException | ArrayIndexOutOfBoundsException e) {
                rest = false;
            }
            if (rest) {
                faults.add(new ValidationError("/", "text after the value"));
            }
            return value;
        } catch (final JsonException | IOException | ArrayIndexOutOfBoundsException e) {
            faults.add(new ValidationError("/", "not readable as JSON"));
            return null;
        }
    }

    private Object readValue(final JsonIterator input, final String path, final int depth) throws IOException {
        if (depth > MAX_DEPTH) {
            throw new JsonException("too deep");
        }
        return switch (input.whatIsNext()) {
            case STRING -> input.readString();
            case NUMBER -> readNumber(input, path);
            case BOOLEAN -> input.readBoolean();
            case NULL -> {
                input.readNull();
                yield null;
            }
            case ARRAY -> {
                final List<Object> list = new ArrayList<>();
                while (input.readArray()) {
                    list.add(readValue(input, path + "/" + list.size(), depth + 1));
                }
                yield list;
            }
            case OBJECT -> {
                final Map<String, Object> map = new LinkedHashMap<>();
                for (String f = input.readObject(); f != null; f = input.readObject()) {
                    final String at = path + "/" + f;
                    final boolean twice = map.containsKey(f);
                    final Object v = readValue(input, at, depth + 1);
                    if (twice) {
                        errors.add(new ValidationError(at, "member stated twice"));
                    }
                    map.put(f, v);
                }
                yield map;
            }
            default -> throw new JsonException("no value");
        };
    }

    private BigDecimal readNumber(final JsonIterator input, final String path) throws IOException {
        final String text = input.readNumberAsString();
        try {
            final BigDecimal number = new BigDecimal(text);
            if (Math.abs((long) number.scale()) + number.precision() > 40) {
                errors.add(new ValidationError(path, "number out of range"));
                return BigDecimal.ZERO;
            }
            return number;
        } catch (final NumberFormatException e) {
            throw new JsonException("bad number");
        }
    }
}
