package org.rowanvalve.control;

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
import org.rowanvalve.common.Finding;

/** Reads operators' JSON whole, so that every fault is found with its path in one pass. */
public final class JsonReader {
    private static final int DEPTH = 16;
    private final List<Finding> faults;

    private JsonReader(final List<Finding> faults) {
        this.faults = faults;
    }

    public static Object read(final byte[] data, final List<Finding> faults) {
        final JsonIterator it = JsonIterator.parse(data.length == 0 ? " ".getBytes(StandardCharsets.UTF_8) : data);
        try {
            final Object o = new JsonReader(faults).value(it, "", 0);
            boolean rest = false;
            try {
                rest = it.whatIsNext() != ValueType.INVALID;
            } catch (final JsonException | IOException | ArrayIndexOutOfBoundsException e) {
                rest = false;
            }
            if (rest) {
                faults.add(new Finding("/", "text after the value"));
            }
            return o;
        } catch (final JsonException | IOException | ArrayIndexOutOfBoundsException e) {
            faults.add(new Finding("/", "not readable as JSON"));
            return null;
        }
    }

    private Object value(final JsonIterator it, final String path, final int depth) throws IOException {
        if (depth > DEPTH) {
            throw new JsonException("too deep");
        }
        return switch (it.whatIsNext()) {
            case STRING -> it.readString();
            case NUMBER -> number(it, path);
            case BOOLEAN -> it.readBoolean();
            case NULL -> {
                it.readNull();
                yield null;
            }
            case ARRAY -> {
                final List<Object> list = new ArrayList<>();
                while (it.readArray()) {
                    list.add(value(it, path + "/" + list.size(), depth + 1));
                }
                yield list;
            }
            case OBJECT -> {
                final Map<String, Object> map = new LinkedHashMap<>();
                for (String f = it.readObject(); f != null; f = it.readObject()) {
                    final String at = path + "/" + f;
                    final boolean twice = map.containsKey(f);
                    final Object v = value(it, at, depth + 1);
                    if (twice) {
                        faults.add(new Finding(at, "member stated twice"));
                    }
                    map.put(f, v);
                }
                yield map;
            }
            default -> throw new JsonException("no value");
        };
    }

    private BigDecimal number(final JsonIterator it, final String path) throws IOException {
        final String text = it.readNumberAsString();
        try {
            final BigDecimal n = new BigDecimal(text);
            if (Math.abs((long) n.scale()) + n.precision() > 40) {
                faults.add(new Finding(path, "number out of range"));
                return BigDecimal.ZERO;
            }
            return n;
        } catch (final NumberFormatException e) {
            throw new JsonException("bad number");
        }
    }
}
