package org.rowanvalve.server.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
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
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.model.ValidationError;
import org.rowanvalve.control.config.Configuration;
import org.rowanvalve.server.options.OptionFlags;

/** Checks the lists, examples and names in the documentation against the code. */
class DocsTest {
    private static final Path DOCS = Path.of("..", "docs");

    @Test
    void eventCatalogueListsExactlyTheEventCodes() throws IOException {
        final String text = Files.readString(DOCS.resolve("EVENTS.md"));
        final List<String> documented = new ArrayList<>();
        final Matcher matcher =
                Pattern.compile("\\| (RV\\d+) \\| (\\w+) \\| ([^|]+) \\|").matcher(text);
        while (matcher.find()) {
            documented.add(matcher.group(1) + " " + matcher.group(2) + " " + matcher.group(3));
        }
        final List<String> expected = new ArrayList<>();
        for (final EventCode code : EventCode.values()) {
            expected.add(code.id() + " " + code.name() + " " + code.description());
        }
        assertEquals(expected, documented);
    }

    @Test
    void everyExampleConfigurationInTheDocsIsValid() throws IOException {
        final Matcher matcher = Pattern.compile("```json config\n(.*?)```", Pattern.DOTALL)
                .matcher(Files.readString(DOCS.resolve("CONFIG.md")));
        int examples = 0;
        while (matcher.find()) {
            final List<ValidationError> faults = new ArrayList<>();
            final Configuration configuration =
                    Configuration.read(matcher.group(1).getBytes(StandardCharsets.UTF_8), faults);
            assertEquals(List.of(), faults);
            assertTrue(!configuration.routes().isEmpty());
            examples++;
        }
        assertTrue(examples >= 1);
    }

    @Test
    void everyOptionIsInTheReference() throws IOException {
        final String text = Files.readString(DOCS.resolve("CONFIG.md"));
        OptionFlags.names().forEach(f -> assertTrue(text.contains("| `" + f + "` |"), f));
    }

    @Test
    void aConfigurationWithManyFaultsNamesThemAll() {
        final List<ValidationError> faults = new ArrayList<>();
        Configuration.read("""
            {"services":{"a":{"kind":"content"},"b":{"kind":"shop","rate":-1,"rate":2,"bodyLimit":"x"},"C":{"kind":"booking"}},
             "routes":{"r1":{"prefix":"/x/","service":"a","mode":"cached","lifetimeMs":-5},
                       "r2":{"prefix":"/x/y/","service":"nobody","mode":"status","extra":true},
                       "r3":{"prefix":"z","service":"a","mode":"once"},
                       "r4":{"prefix":"/q/","service":"a","mode":"cached","lifetimeMs":1.5,"purgeable":false,"when":"size >"}},
             "purges":{"p":{"route":"r4","path":"/q/1"},"q":{"route":"r9"}}, "more":1}
            """.getBytes(StandardCharsets.UTF_8), faults);
        Approvals.verify(
                String.join("\n", faults.stream().map(ValidationError::toString).toList()));
    }

    /** Every Java source file of every module, without generated files. */
    private static List<Path> javaFiles() throws IOException {
        final List<Path> files = new ArrayList<>();
        try (var modules = Files.list(Path.of(".."))) {
            for (final Path sources : modules.map(module -> module.resolve("src"))
                    .filter(Files::isDirectory)
                    .toList()) {
                try (var paths = Files.walk(sources)) {
                    paths.filter(f -> f.toString().endsWith(".java")).forEach(files::add);
                }
            }
        }
        return files;
    }

    private static Map<String, String> sources() throws IOException {
        final Map<String, String> byName = new TreeMap<>();
        for (final Path source : javaFiles()) {
            byName.put(source.getFileName().toString().replace(".java", ""), Files.readString(source));
        }
        return byName;
    }

    /** Pages about past events, which use the names of their time. */
    private static final Set<String> HISTORY = Set.of("ROUNDS.md", "INCIDENTS.md");

    private static final Pattern NAME = Pattern.compile("`([A-Z][a-z]\\w+)(?:[.#](\\w+))?`");

    /** Every class, member and test that a page names in code style must exist. */
    @Test
    void everyNameInTheDocumentationExists() throws IOException {
        final Map<String, String> sources = sources();
        final List<String> missing = new ArrayList<>();
        int seen = 0;
        for (final Path page : pages()) {
            final Matcher matcher = NAME.matcher(Files.readString(page));
            while (matcher.find()) {
                seen++;
                final String source = sources.get(matcher.group(1));
                final String member = matcher.group(2);
                if (source == null || member != null && !source.contains(member)) {
                    missing.add(page.getFileName() + " " + matcher.group());
                }
            }
        }
        assertEquals(List.of(), missing);
        assertTrue(seen > 500, seen + " names");
    }

    private static List<Path> pages() throws IOException {
        try (var files = Files.list(DOCS)) {
            return files.filter(f -> f.toString().endsWith(".md"))
                    .filter(f -> !HISTORY.contains(f.getFileName().toString()))
                    .toList();
        }
    }

    private static final Pattern IMPORT =
            Pattern.compile("import (?:static )?org\\.rowanvalve\\.([a-z]+(?:\\.[a-z]+)?)\\.");

    private static final Pattern DEPENDENCIES = Pattern.compile("Depends on ((?:[^.]|\\.(?=\\w))*)\\.");

    private static final Pattern CODE = Pattern.compile("\\{@code ([\\w.]+)}");

    /** Each package description names exactly the packages that its sources import; all may use {@code common}. */
    @Test
    void everyPackageNamesThePackagesItDependsOn() throws IOException {
        int seen = 0;
        for (final Path file : javaFiles()) {
            if (file.endsWith("package-info.java")) {
                seen++;
                assertEquals(imported(file.getParent()), described(file), file.toString());
            }
        }
        assertTrue(seen > 40, seen + " packages");
    }

    private static Set<String> imported(final Path directory) throws IOException {
        final String own =
                directory.toString().replaceFirst(".*/org/rowanvalve/", "").replace('/', '.');
        final Set<String> packages = new TreeSet<>();
        try (var files = Files.list(directory)) {
            for (final Path source :
                    files.filter(f -> f.toString().endsWith(".java")).toList()) {
                IMPORT.matcher(Files.readString(source)).results().forEach(match -> packages.add(match.group(1)));
            }
        }
        packages.remove(own);
        packages.removeIf(name -> name.startsWith("common"));
        return packages;
    }

    private static Set<String> described(final Path description) throws IOException {
        final String text = Files.readString(description).replaceAll("\\s+\\*\\s+", " ");
        final Set<String> packages = new TreeSet<>();
        DEPENDENCIES
                .matcher(text)
                .results()
                .forEach(sentence ->
                        CODE.matcher(sentence.group(1)).results().forEach(match -> packages.add(match.group(1))));
        packages.removeIf(name -> name.startsWith("common"));
        return packages;
    }
}
