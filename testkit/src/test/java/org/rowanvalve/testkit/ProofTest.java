package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The ledger names only tests, classes and scenarios that exist. */
class ProofTest {
    private static final Path TOP = Path.of("..");

    private static Map<String, String> sources() throws IOException {
        final Map<String, String> map = new TreeMap<>();
        try (Stream<Path> all = Files.walk(TOP)) {
            for (final Path path : all.filter(
                            f -> f.toString().endsWith(".java") && !f.toString().contains("target"))
                    .toList()) {
                map.merge(path.getFileName().toString().replace(".java", ""), Files.readString(path), String::concat);
            }
        }
        return map;
    }

    @Test
    void everyNameInTheLedgerExists() throws IOException {
        final Map<String, String> code = sources();
        final List<String> missing = new ArrayList<>();
        int seen = 0;
        final Matcher matcher = Pattern.compile("`([^`]+)`").matcher(Files.readString(TOP.resolve("docs/PROOF.md")));
        while (matcher.find()) {
            final String name = matcher.group(1);
            final boolean there = name.contains("/")
                    ? Files.exists(TOP.resolve(name))
                    : name.contains("#")
                            ? code.getOrDefault(name.substring(0, name.indexOf('#')), "")
                                    .contains("void " + name.substring(name.indexOf('#') + 1) + "(")
                            : !name.matches("[A-Z]\\w+") || code.containsKey(name);
            seen++;
            if (!there) {
                missing.add(name);
            }
        }
        assertEquals(List.of(), missing);
        assertTrue(seen > 60);
    }

    /** The last cell of each rule's row names removals; all of them are named somewhere. */
    @Test
    void everyRemovalIsNamedAndEveryNameIsARemoval() throws IOException {
        final Set<String> kept = new TreeSet<>(Removals.all(new ArrayList<>()).keySet());
        final String text = Files.readString(TOP.resolve("docs/PROOF.md"));
        final List<String> unknown = new ArrayList<>();
        for (final String line : text.split("\n")) {
            if (line.matches("\\| (D?\\d+) \\| .*")) {
                final String[] cells = line.split("\\|");
                for (final String name : cells[cells.length - 1].trim().split(", ")) {
                    if (!kept.contains(name)) {
                        unknown.add(name);
                    }
                }
            }
        }
        assertEquals(List.of(), unknown);
        assertEquals(List.of(), kept.stream().filter(n -> !text.contains(n)).toList());
    }

    @Test
    void everyRuleOfTheBriefHasItsRow() throws IOException {
        final String text = Files.readString(TOP.resolve("docs/PROOF.md"));
        for (int i = 1; i <= 12; i++) {
            assertTrue(text.contains("\n| " + i + " | "), "rule " + i);
        }
        for (int i = 1; i <= 4; i++) {
            assertTrue(text.contains("\n| D" + i + " | "), "rule D" + i);
        }
    }
}
