package org.rowanvalve.control.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonParseException;
import com.google.gson.Strictness;
import com.google.gson.stream.JsonToken;
import com.google.gson.stream.MalformedJsonException;
import java.io.IOException;
import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rowanvalve.common.model.ValidationError;

/** The reader rejects every text that is not JSON, wherever the error is. */
class JsonReaderTest {
    private static final String UPDATE = """
            {"upsert":{"routes":{"columns":["name","cache_ttl_s","config_version","traffic_split"],
            "rows":[["r-\\u00e9\\n",2.50,"00000007",[{"weight":-1e+3},{"weight":0}]],["x",null,"0000000a",true]]}},
            "remove":{"routes":[{"name":"gone","config_version":"00000009"}]}, "u":"\\ud83d\\ude00é"}
""";

    private static final long SEED = 4;
    private static final int MAX_NUMBER_DIGITS = 40;
    private static final int MUTANTS_PER_KIND = 12_000;

    private static boolean isAccepted(final byte[] data) {
        final List<ValidationError> errors = new ArrayList<>();
        JsonReader.read(data, errors);
        return errors.isEmpty();
    }

    private static boolean isAccepted(final String text) {
        return isAccepted(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Guards against text after the value that is mistaken for the end of the input (review, case 4). */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "}",
                "]",
                "}}",
                ",",
                ":",
                "x",
                "xyz",
                "\u0000",
                "{",
                "[",
                "1",
                "\"",
                "null",
                "true",
                "-",
                "//",
                "/**/",
                "\u00a0",
                "\ufeff",
                ";",
                "},\"remove\":{}}",
                "\f",
                "\u000b",
                "NaN",
                "#",
                "'"
            })
    void textAfterTheValueIsRejected(final String trailing) {
        for (final String value : List.of("{}", "{\"a\":[1]}", "[]", "1", "\"x\"", "true", "null", UPDATE)) {
            assertTrue(isAccepted(value + " \t\r\n"), value);
            assertFalse(isAccepted(value + " " + trailing), value + " " + trailing);
            assertFalse(isAccepted(value + " \n" + trailing + " "), value + " " + trailing);
        }
        assertFalse(isAccepted(UPDATE.strip() + trailing), trailing);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                " ",
                "02",
                "2.",
                ".5",
                "+1",
                "-",
                "1e",
                "1e+",
                "0x1",
                "NaN",
                "-Infinity",
                "01.5",
                "1_0",
                "nul",
                "True",
                "'a'",
                "{a:1}",
                "{\"a\":1,}",
                "[1,]",
                "[,1]",
                "[1 2]",
                "{\"a\" 1}",
                "{\"a\":1 \"b\":2}",
                "\"\\x\"",
                "\"\\u12g4\"",
                "\"a\nb\"",
                "\"a\tb\"",
                "\"a",
                "{",
                "[",
                "{\"a\":1,\"a\":1}",
                "{\"\\u0061\":1,\"a\":2}",
                "\ufeff{}",
                "/**/1",
                "\"\\ud800\"",
                "\"\\udc00x\"",
                "{\"\\ud800\":1}"
            })
    void invalidJsonIsRejected(final String text) {
        assertFalse(isAccepted(text), text);
        assertFalse(isAccepted("{\"routes\":[" + text + "]") && !text.isBlank(), text);
    }

    @Test
    void bytesThatAreNotUtf8AreRejected() {
        for (final int[] bytes : new int[][] {
            {0xc0, 0x80},
            {0xed, 0xa0, 0x80},
            {0xff},
            {0xe2, 0x82},
            {0xf5, 0x80, 0x80, 0x80},
            {0xf0, 0x80, 0x80, 0x80},
            {0x80}
        }) {
            final byte[] data = new byte[bytes.length + 2];
            data[0] = '"';
            for (int i = 0; i < bytes.length; i++) {
                data[i + 1] = (byte) bytes[i];
            }
            data[data.length - 1] = '"';
            assertFalse(isAccepted(data), Arrays.toString(bytes));
        }
        assertFalse(isAccepted("{}".getBytes(StandardCharsets.UTF_16BE)));
        assertFalse(isAccepted("{}".getBytes(StandardCharsets.UTF_16LE)));
    }

    /**
     * Valid texts with one byte added, removed, doubled or changed are accepted exactly if a strict parser accepts
     * them.
     */
    @Test
    void mutatedTextsAreAcceptedExactlyIfAStrictParserAcceptsThem() {
        final Random random = new Random(SEED);
        final byte[] valid = UPDATE.getBytes(StandardCharsets.UTF_8);
        final String alphabet = "{}[]:,\"\\ \n\t0123456789.-+eEtfn/u'x\u0000\u007f\u0080\u00ff";
        int accepted = 0;
        for (int i = 0; i < 4 * MUTANTS_PER_KIND; i++) {
            final int at = random.nextInt(valid.length);
            final byte other = random.nextBoolean()
                    ? (byte) alphabet.charAt(random.nextInt(alphabet.length()))
                    : (byte) random.nextInt(256);
            final byte[] mutant =
                    switch (i % 4) {
                        case 0 -> spliced(valid, at, 0, other);
                        case 1 -> spliced(valid, at, 1);
                        case 2 -> spliced(valid, at, 0, valid[at]);
                        default -> spliced(valid, at, 1, other);
                    };
            final boolean expected = isStrictJson(mutant);
            accepted += expected ? 1 : 0;
            assertEquals(expected, isAccepted(mutant), () -> new String(mutant, StandardCharsets.UTF_8));
        }
        assertTrue(accepted > MUTANTS_PER_KIND && accepted < 3 * MUTANTS_PER_KIND, "accepted " + accepted);
    }

    private static byte[] spliced(final byte[] text, final int at, final int cut, final byte... put) {
        final ByteBuffer out = ByteBuffer.allocate(text.length - cut + put.length);
        return out.put(text, 0, at)
                .put(put)
                .put(text, at + cut, text.length - at - cut)
                .array();
    }

    /**
     * The verdict of another library's strict parser; duplicate members and unpaired surrogates are rejected in
     * addition.
     */
    private static boolean isStrictJson(final byte[] data) {
        try {
            final String text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(data))
                    .toString();
            final com.google.gson.stream.JsonReader reader =
                    new com.google.gson.stream.JsonReader(new StringReader(text));
            reader.setStrictness(Strictness.STRICT);
            final boolean isValid = readValue(reader);
            return reader.peek() == JsonToken.END_DOCUMENT && isValid && !text.startsWith("\ufeff");
        } catch (final IOException | JsonParseException | IllegalStateException | NumberFormatException e) {
            return false;
        }
    }

    private static boolean readValue(final com.google.gson.stream.JsonReader reader) throws IOException {
        boolean isValid = true;
        switch (reader.peek()) {
            case BEGIN_ARRAY -> {
                reader.beginArray();
                while (reader.hasNext()) {
                    isValid &= readValue(reader);
                }
                reader.endArray();
            }
            case BEGIN_OBJECT -> {
                final Set<String> names = new HashSet<>();
                reader.beginObject();
                while (reader.hasNext()) {
                    final String name = reader.nextName();
                    isValid &= names.add(name) && hasNoUnpairedSurrogate(name);
                    isValid &= readValue(reader);
                }
                reader.endObject();
            }
            case STRING -> isValid = hasNoUnpairedSurrogate(reader.nextString());
            case NUMBER -> isValid = isInRange(reader.nextString());
            case BOOLEAN -> reader.nextBoolean();
            case NULL -> reader.nextNull();
            default -> throw new MalformedJsonException("no value");
        }
        return isValid;
    }

    private static boolean hasNoUnpairedSurrogate(final String text) {
        return StandardCharsets.UTF_8.newEncoder().canEncode(text);
    }

    private static boolean isInRange(final String number) {
        final java.math.BigDecimal value = new java.math.BigDecimal(number);
        return Math.abs((long) value.scale()) + value.precision() <= MAX_NUMBER_DIGITS;
    }
}
