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

    public static Object read(final byte[] data, final List<ValidationError> faults) {
        final JsonIterator it = JsonIterator.parse(data.length == 0 ? " ".getBytes(StandardCharsets.UTF_8) : data);
        try {
            final Object o = new JsonReader(faults).readValue(it, "", 0);
            boolean rest = false;
            try {
                rest = it.whatIsNext() != ValueType.INVALID;
            } catch (final JsonException | IOException | ArrayIndexOutOfBoundsException e) {
                rest = false;
            }
            if (rest) {
                faults.add(new ValidationError("/", "text after the value"));
            }
            return o;
        } catch (final JsonException | IOException | ArrayIndexOutOfBoundsException e) {
            faults.add(new ValidationError("/", "not readable as JSON"));
            return null;
        }
    }

    private Object readValue(final JsonIterator it, final String path, final int depth) throws IOException {
        if (depth > MAX_DEPTH) {
            throw new JsonException("too deep");
        }
        return switch (it.whatIsNext()) {
            case STRING -> it.readString();
            case NUMBER -> readNumber(it, path);
            case BOOLEAN -> it.readBoolean();
            case NULL -> {
                it.readNull();
                yield null;
            }
            case ARRAY -> {
                final List<Object> list = new ArrayList<>();
                while (it.readArray()) {
                    list.add(readValue(it, path + "/" + list.size(), depth + 1));
                }
                yield list;
            }
            case OBJECT -> {
                final Map<String, Object> map = new LinkedHashMap<>();
                for (String f = it.readObject(); f != null; f = it.readObject()) {
                    final String at = path + "/" + f;
                    final boolean twice = map.containsKey(f);
                    final Object v = readValue(it, at, depth + 1);
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

    private BigDecimal readNumber(final JsonIterator it, final String path) throws IOException {
        final String text = it.readNumberAsString();
        try {
            final BigDecimal n = new BigDecimal(text);
            if (Math.abs((long) n.scale()) + n.precision() > 40) {
                errors.add(new ValidationError(path, "number out of range"));
                return BigDecimal.ZERO;
            }
            return n;
        } catch (final NumberFormatException e) {
            throw new JsonException("bad number");
        }
    }
}
