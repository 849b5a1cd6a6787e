import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/** Versioned objects that the origins of one content service share. */
final class Shelf implements Function<Origin.Asked, Origin.Reply> {
    private final Map<String, Integer> versions = new ConcurrentHashMap<>();
    private final Map<String, Long> replacedAt = new ConcurrentHashMap<>();
    private final long workMs;

    Shelf(final long workMs) {
        this.workMs = workMs;
    }

    /** The object gets its next version; returns when the earlier one was replaced. */
    long change(final Kit kit, final String path) {
        versions.merge(path, 2, (a, b) -> a + 1);
        replacedAt.put(path, kit.ms());
        kit.say("object " + path + " is now version " + versions.get(path));
        return replacedAt.get(path);
    }

    static int versionOf(final Kit.Answer answer) {
        final String etag = answer.header("etag");
        return etag.isEmpty() ? 0 : Integer.parseInt(etag.replaceAll("[^0-9]", ""));
    }

    @Override
    public Origin.Reply apply(final Origin.Asked asked) {
        try {
            Thread.sleep(workMs);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        final int version = versions.getOrDefault(asked.path(), 1);
        final Map<String, String> heads = new LinkedHashMap<>();
        heads.put("X-Edge-Seal", "s." + version + asked.path().replace('/', '.'));
        heads.put("ETag", "\"v" + version + "\"");
        heads.put("X-Object-Tags", "t1");
        final String body = ("version " + version + " of " + asked.path() + " ").repeat(40);
        return new Origin.Reply(200, heads, body.getBytes(StandardCharsets.UTF_8));
    }
}
