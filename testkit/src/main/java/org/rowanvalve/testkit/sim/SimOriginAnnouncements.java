package org.rowanvalve.testkit.sim;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.control.config.ServiceKind;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.operator.ApiResponse;
import org.rowanvalve.testkit.log.RunLog;

/** The two ways in which origins announce themselves. */
final class SimOriginAnnouncements {
    private SimOriginAnnouncements() {}

    /** By the product's own contract: named, with a time to live. */
    record Announced() implements SimOrigin.Word {
        @Override
        public void say(
                final SimNode node,
                final SimOrigin who,
                final String stamp,
                final boolean out,
                final long beat,
                final Consumer<ApiResponse> then) {
            final byte[] body = Json.write(RunLog.row(
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
            node.node().configurationService().announceOrigin(who.name(), body, then);
        }

        @Override
        public void end(final SimNode node, final String name, final String stamp, final Consumer<ApiResponse> then) {
            then.accept(new ApiResponse(204, java.util.Map.of()));
        }

        @Override
        public boolean tells() {
            return false;
        }

        @Override
        public long rest(final VirtualTime time, final long beat) {
            return beat == 1 ? 500 : 2500 + time.dice().nextInt(500);
        }
    }

    /** By counted beats: each life is an instance of its own, and its end is told. */
    record Beating() implements SimOrigin.Word {
        @Override
        public void say(
                final SimNode node,
                final SimOrigin who,
                final String stamp,
                final boolean out,
                final long beat,
                final Consumer<ApiResponse> then) {
            final SimOrigin.Make make = who.make();
            node.node()
                    .originRegistry()
                    .onHeartbeat(
                            stamp,
                            new Origin(
                                    who.stock().service(),
                                    who.host(),
                                    80,
                                    stamp,
                                    ServiceKind.ofCode(make.kind()),
                                    0,
                                    0,
                                    out,
                                    beat,
                                    make.cell(),
                                    make.slots(),
                                    0),
                            then);
        }

        @Override
        public void end(final SimNode node, final String name, final String stamp, final Consumer<ApiResponse> then) {
            node.node().originRegistry().onEnd(stamp, then);
        }

        @Override
        public boolean tells() {
            return true;
        }

        @Override
        public long rest(final VirtualTime time, final long beat) {
            return beat == 1 ? 500 : 1500;
        }
    }
}
