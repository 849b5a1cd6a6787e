package org.rowanvalve.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;

/** The README's walk-through, run as it stands, on addresses of its own. */
@Isolated
class WalkThroughTest {
    @TempDir
    private Path dir;

    private String walk(final String page, final int net) throws Exception {
        final StringBuilder script = new StringBuilder("trap 'kill $(jobs -p) 2>/dev/null || true' EXIT\n");
        final Matcher matcher =
                Pattern.compile("```sh\n(.*?)```", Pattern.DOTALL).matcher(Files.readString(Path.of("..", page)));
        while (matcher.find()) {
            script.append(matcher.group(1));
        }
        final Path file = Files.writeString(dir.resolve("walk.sh"), script);
        final File out = dir.resolve("out").toFile();
        final ProcessBuilder builder = new ProcessBuilder("bash", file.toString())
                .directory(new File(".."))
                .redirectErrorStream(true)
                .redirectOutput(out);
        builder.environment()
                .put(
                        "NET",
                        "127." + (net + ProcessHandle.current().pid() % 50) + "."
                                + ProcessHandle.current().pid() / 50 % 250);
        builder.environment().put("RUN", dir.resolve("run").toString());
        final Process process = builder.start();
        final boolean ended = process.waitFor(300, TimeUnit.SECONDS);
        process.descendants().forEach(ProcessHandle::destroyForcibly);
        process.destroyForcibly();
        final String text = Files.readString(out.toPath());
        assertTrue(ended, text);
        assertEquals(0, process.exitValue(), text);
        return text;
    }

    /** A store moved to another address, then both stores' disks lost and the electing shield vouched for. */
    @Test
    void theStepsForReplacingAStoreWork() throws Exception {
        final String text = walk("docs/REPLACE.md", 80);
        assertEquals(2, text.lines().filter(l -> l.equals("1")).count(), text);
        assertEquals(2, text.lines().filter(l -> l.contains("in force")).count(), text);
    }

    @Test
    void theReadmesCommandsDoWhatItSays() throws Exception {
        final String text = walk("README.md", 140);
        final Map<String, Integer> seen = new TreeMap<>();
        final Matcher s = Pattern.compile("HTTP/1.1 (\\d+)|Rv-Cache: (\\w+)|(version \\d+ in force)")
                .matcher(text);
        while (s.find()) {
            seen.merge(s.group().replace("HTTP/1.1 ", "").replaceAll("version \\d+", "version"), 1, Integer::sum);
        }
        assertEquals(
                Map.of("200", 3, "201", 2, "422", 1, "Rv-Cache: hit", 1, "Rv-Cache: miss", 2, "version in force", 3),
                seen,
                text);
        assertEquals(1, text.split("\"number\":1", -1).length / 2, "the keyed request ran once: " + text);
    }
}
