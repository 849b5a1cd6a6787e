package rv.rig;

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
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.api.io.TempDir;

/** The README's walk-through, run as it stands, on addresses of its own. */
@Isolated
class WalkTest {
    @TempDir
    private Path dir;

    @Test
    void theReadmesCommandsDoWhatItSays() throws Exception {
        final StringBuilder script = new StringBuilder();
        final Matcher m = Pattern.compile("```sh\n(.*?)```", Pattern.DOTALL).matcher(Files.readString(Path.of("..", "README.md")));
        while (m.find()) {
            script.append(m.group(1));
        }
        final Path file = Files.writeString(dir.resolve("walk.sh"), script);
        final File out = dir.resolve("out").toFile();
        final ProcessBuilder b = new ProcessBuilder("bash", file.toString()).directory(new File("..")).redirectErrorStream(true).redirectOutput(out);
        b.environment().put("NET", "127." + (80 + ProcessHandle.current().pid() % 100) + "." + ProcessHandle.current().pid() / 100 % 250);
        b.environment().put("RUN", dir.resolve("run").toString());
        final Process p = b.start();
        final boolean ended = p.waitFor(300, TimeUnit.SECONDS);
        if (!ended) {
            p.descendants().forEach(ProcessHandle::destroyForcibly);
            p.destroyForcibly();
        }
        final String text = Files.readString(out.toPath());
        assertTrue(ended, text);
        assertEquals(0, p.exitValue(), text);
        final Map<String, Integer> seen = new TreeMap<>();
        final Matcher s = Pattern.compile("HTTP/1.1 (\\d+)|Rv-Cache: (\\w+)|(version 1 in force)").matcher(text);
        while (s.find()) {
            seen.merge(s.group().replace("HTTP/1.1 ", ""), 1, Integer::sum);
        }
        assertEquals(Map.of("200", 3, "201", 2, "422", 1, "Rv-Cache: hit", 1, "Rv-Cache: miss", 2, "version 1 in force", 3), seen, text);
        assertEquals(1, text.split("\"number\":1", -1).length / 2, "the keyed request ran once: " + text);
    }
}
