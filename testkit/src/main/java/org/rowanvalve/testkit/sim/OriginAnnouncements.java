package org.rowanvalve.testkit.sim;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.rowanvalve.control.ApiResult;
import org.rowanvalve.control.Json;
import org.rowanvalve.control.Origin;
import org.rowanvalve.testkit.Log;

/** The two ways in which origins tell of themselves. */
final class OriginAnnouncements {
    private OriginAnnouncements() {}

    /** By the product's own contract: named, with a time to live. */
    record Announced() implements SimOrigin.Word {
        @Override
        public void say(
                final SimNode at,
                final SimOrigin who,
                final String stamp,
                final boolean out,
                final long beat,
                final Consumer<ApiResult> then) {
            final byte[] body = Json.text(Log.row(
                            "service",
                            who.stock().service(),
                            "host",
                            who.host(),
                            "port",
                            80,
                            "stamp",
                            stamp,
                            "kind",
                            who.make().kind(),
                            "load",
                            0,
                            "ttlMs",
                            10_000,
                            "leaving",
                            out,
                            "beat",
                            beat))
                    .getBytes(StandardCharsets.UTF_8);
            at.node().clerk().announce(who.name(), body, then);
        }

        @Override
        public void end(final SimNode at, final String name, final String stamp, final Consumer<ApiResult> then) {
            then.accept(new ApiResult(204, java.util.Map.of()));
        }

        @Override
        public boolean tells() {
            return false;
        }

        @Override
        public long rest(final World world, final long beat) {
            return beat == 1 ? 500 : 2500 + world.dice().nextInt(500);
        }
    }

    /** By counted beats: each life is an instance of its own, and its end is told. */
    record Beating() implements SimOrigin.Word {
        @Override
        public void say(
                final SimNode at,
                final SimOrigin who,
                final String stamp,
                final boolean out,
                final long beat,
                final Consumer<ApiResult> then) {
            final SimOrigin.Make m = who.make();
            at.node()
                    .registry()
                    .beat(
                            stamp,
                            new Origin(
                                    who.stock().service(),
                                    who.host(),
                                    80,
                                    stamp,
                                    m.kind(),
                                    0,
                                    0,
                                    out,
                                    beat,
                                    m.cell(),
                                    m.slots(),
                                    0),
                            then);
        }

        @Override
        public void end(final SimNode at, final String name, final String stamp, final Consumer<ApiResult> then) {
            at.node().registry().end(stamp, then);
        }

        @Override
        public boolean tells() {
            return true;
        }

        @Override
        public long rest(final World world, final long beat) {
            return beat == 1 ? 500 : 1500;
        }
    }
}
