package org.rowanvalve.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.Msg;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.common.Wire;

/**
 * Frames between processes, rows on disk and bodies of items, as the build of the format's first release wrote them. What
 * this build writes is the same to the byte, and it reads back what that build wrote. A name in Java may change; the file
 * of formats may only grow.
 */
class StoredFormatTest {
    private static final Path FORMATS = Path.of("src", "test", "resources", "stored-formats.txt");
    private static final long REQUEST = 7;
    private static final long ANSWERED = 3;

    /** Rows on the disks of voters, by the name under which the file of formats has them. */
    private static final Map<String, Class<? extends Record>> ROWS = Map.of(
            "seal",
            VoterMemory.Seal.class,
            "standby",
            VoterMemory.Standby.class,
            "slot",
            Msg.Slot.class,
            "voters",
            Msg.Chosen.class,
            "record",
            KeyRecordTable.Row.class,
            "bar",
            KeyRecordStore.Bar.class,
            "lapse",
            KeyRecordStore.Lapse.class,
            "era",
            KeyRecordStore.Era.class);

    /** Bodies of items, which are JSON text, by the name under which the file of formats has them. */
    private static final Map<String, Class<? extends Record>> BODIES = Map.of(
            "route",
            Match.class,
            "service",
            Service.class,
            "purge",
            Purge.class,
            "origin",
            Origin.class,
            "limit",
            Limits.class,
            "plan",
            Plan.class,
            "tenure",
            Leadership.class,
            "voters",
            VoterSet.class,
            "sweep",
            Sweep.class,
            "ledger",
            OrderLedger.class);

    private static final List<String> VARIANTS = List.of("full", "sparse");

    private static Map<String, String> written() throws IOException {
        final Map<String, String> lines = new LinkedHashMap<>();
        for (final String line : Files.readAllLines(FORMATS)) {
            final int cut = line.indexOf(' ');
            lines.put(line.substring(0, cut), line.substring(cut + 1));
        }
        return lines;
    }

    private static <T> List<T> samples(final Class<T> type) {
        final List<T> list = new ArrayList<>(List.of(SampleValues.full(type)));
        SampleValues.sparse(type).ifPresent(list::add);
        return list;
    }

    private static byte[] frame(final Msg message) {
        return Wire.pack(new Wire.Envelope(Wire.VERSION, REQUEST, ANSWERED, NodeId.of("sender"), message));
    }

    private static String hex(final byte[] data) {
        return HexFormat.of().formatHex(data);
    }

    /** The tag of a message in a frame: what its type is called on the wire. */
    private static String tag(final Msg message) throws IOException {
        final com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper mapper =
                new com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper();
        return mapper.readTree(frame(message)).get("msg").get("t").asText();
    }

    static Map<String, String> writtenNow() throws IOException {
        final Map<String, String> lines = new TreeMap<>();
        for (final Class<?> type : Msg.class.getPermittedSubclasses()) {
            int variant = 0;
            for (final Object sample : samples(type)) {
                final Msg message = (Msg) sample;
                lines.put("message/" + tag(message) + "/" + VARIANTS.get(variant++), hex(frame(message)));
            }
        }
        ROWS.forEach((name, type) -> {
            int variant = 0;
            for (final Object sample : samples(type)) {
                lines.put("row/" + name + "/" + VARIANTS.get(variant++), hex(Wire.pack(sample)));
            }
        });
        BODIES.forEach((name, type) -> {
            int variant = 0;
            for (final Object sample : samples(type)) {
                lines.put("body/" + name + "/" + VARIANTS.get(variant++), Json.text(sample));
            }
        });
        Stream.of(Code.values()).forEach(code -> lines.put("event/" + code.tag(), code.tag()));
        return lines;
    }

    @Test
    void thisBuildWritesWhatTheFirstReleaseWrote() throws IOException {
        final Map<String, String> now = writtenNow();
        final Map<String, String> before = written();
        before.forEach((name, line) -> assertEquals(line, now.get(name), name));
        assertEquals(before.keySet(), now.keySet(), "each format that is new has a line of its own");
    }

    @Test
    void thisBuildReadsWhatTheFirstReleaseWrote() throws Exception {
        for (final Map.Entry<String, String> line : written().entrySet()) {
            final String[] name = line.getKey().split("/");
            final String text = line.getValue();
            switch (name[0]) {
                case "message" -> {
                    final Wire.Envelope frame = Wire.open(HexFormat.of().parseHex(text));
                    assertEquals(REQUEST, frame.id());
                    assertEquals(ANSWERED, frame.re());
                    assertEquals(name[1], tag(frame.msg()));
                    assertEquals(text, hex(frame(frame.msg())), line.getKey());
                }
                case "row" ->
                    assertEquals(
                            text,
                            hex(Wire.pack(Wire.unpack(HexFormat.of().parseHex(text), ROWS.get(name[1])))),
                            line.getKey());
                case "body" -> assertEquals(text, Json.text(Json.read(text, BODIES.get(name[1]))), line.getKey());
                default ->
                    assertTrue(Stream.of(Code.values()).anyMatch(c -> c.tag().equals(text)), text);
            }
        }
    }

    /** Writes the lines that the file lacks; those that stand stay as they are. */
    public static void main(final String[] args) throws IOException {
        final Map<String, String> all = new TreeMap<>(writtenNow());
        if (Files.exists(FORMATS)) {
            all.putAll(written());
        }
        final StringBuilder text = new StringBuilder();
        all.forEach((name, line) -> text.append(name).append(' ').append(line).append('\n'));
        Files.write(FORMATS, text.toString().getBytes(StandardCharsets.UTF_8));
    }
}
