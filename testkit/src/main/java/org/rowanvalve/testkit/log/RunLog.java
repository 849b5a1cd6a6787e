package org.rowanvalve.testkit.log;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.rowanvalve.control.json.Json;

/** JSON lines on one clock: what clients, origins, operators, nodes and the test kit observed. */
public final class RunLog implements AutoCloseable {
    private final List<Map<String, Object>> rows = new ArrayList<>();
    private final BufferedWriter out;

    public RunLog() {
        out = null;
    }

    public RunLog(final Path file) throws IOException {
        out = Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }

    public static Map<String, Object> row(final Object... pairs) {
        final Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            if (pairs[i + 1] != null) {
                map.put((String) pairs[i], pairs[i + 1]);
            }
        }
        return map;
    }

    public synchronized void add(final Map<String, Object> row) {
        if (out == null) {
            rows.add(row);
            return;
        }
        try {
            out.write(Json.write(row));
            out.newLine();
            out.flush();
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public synchronized List<Map<String, Object>> rows() {
        return new ArrayList<>(rows);
    }

    @SuppressWarnings("unchecked")
    public static List<Map<String, Object>> read(final Path file) throws IOException {
        final List<Map<String, Object>> list = new ArrayList<>();
        for (final String line : Files.readAllLines(file)) {
            if (line.startsWith("{") && line.endsWith("}")) {
                list.add(Json.read(line, Map.class));
            }
        }
        return list;
    }

    /** Reads a log of JSON lines or of text lines, such as processes write that were started without {@code --log json}. */
    public static List<Map<String, Object>> readAny(final Path file) throws IOException {
        final List<Map<String, Object>> rows = read(file);
        return rows.isEmpty() ? TextLog.rows(file.getFileName().toString(), Files.readAllLines(file)) : rows;
    }

    @Override
    public void close() throws IOException {
        if (out != null) {
            out.close();
        }
    }
}
