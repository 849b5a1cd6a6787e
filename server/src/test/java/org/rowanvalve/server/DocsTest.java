package org.rowanvalve.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.Code;
import org.rowanvalve.common.Finding;
import org.rowanvalve.control.Config;

/** The documents' lists and examples are held against the code. */
class DocsTest {
    private static final Path DOCS = Path.of("..", "docs");

    @Test
    void everyEventIsInTheCatalogueAndTheCatalogueHasNoOther() throws IOException {
        final String text = Files.readString(DOCS.resolve("EVENTS.md"));
        final List<String> told = new ArrayList<>();
        final Matcher m =
                Pattern.compile("\\| (RV\\d+) \\| (\\w+) \\| ([^|]+) \\|").matcher(text);
        while (m.find()) {
            told.add(m.group(1) + " " + m.group(2) + " " + m.group(3));
        }
        final List<String> real = new ArrayList<>();
        for (final Code c : Code.values()) {
            real.add(c.tag() + " " + c.name() + " " + c.text());
        }
        assertEquals(real, told);
    }

    @Test
    void everyExampleConfigurationInTheDocsIsSound() throws IOException {
        final Matcher m = Pattern.compile("```json config\n(.*?)```", Pattern.DOTALL)
                .matcher(Files.readString(DOCS.resolve("CONFIG.md")));
        int n = 0;
        while (m.find()) {
            final List<Finding> faults = new ArrayList<>();
            final Config c = Config.read(m.group(1).getBytes(StandardCharsets.UTF_8), faults);
            assertEquals(List.of(), faults);
            assertTrue(!c.routes().isEmpty());
            n++;
        }
        assertTrue(n >= 1);
    }

    @Test
    void everyOptionIsInTheReference() throws IOException {
        final String text = Files.readString(DOCS.resolve("CONFIG.md"));
        OptionFlags.names().forEach(f -> assertTrue(text.contains("| `" + f + "` |"), f));
    }

    @Test
    void aConfigurationWithManyFaultsNamesThemAll() {
        final List<Finding> faults = new ArrayList<>();
        Config.read("""
            {"services":{"a":{"kind":"content"},"b":{"kind":"shop","rate":-1,"rate":2,"bodyLimit":"x"},"C":{"kind":"booking"}},
             "routes":{"r1":{"prefix":"/x/","service":"a","mode":"cached","lifetimeMs":-5},
                       "r2":{"prefix":"/x/y/","service":"nobody","mode":"status","extra":true},
                       "r3":{"prefix":"z","service":"a","mode":"once"},
                       "r4":{"prefix":"/q/","service":"a","mode":"cached","lifetimeMs":1.5,"purgeable":false,"when":"size >"}},
             "purges":{"p":{"route":"r4","path":"/q/1"},"q":{"route":"r9"}}, "more":1}
            """.getBytes(StandardCharsets.UTF_8), faults);
        Approvals.verify(
                String.join("\n", faults.stream().map(Finding::toString).toList()));
    }

    @Test
    void noSourceFileIsOverFourHundredLines() throws IOException {
        try (var all = Files.walk(Path.of(".."))) {
            final List<String> big = new ArrayList<>();
            for (final Path p : all.filter(
                            f -> f.toString().endsWith(".java") && !f.toString().contains("target"))
                    .toList()) {
                if (Files.readAllLines(p).size() > 400) {
                    big.add(p.toString());
                }
            }
            assertEquals(List.of(), big);
        }
    }
}
