package org.rowanvalve.data;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.rowanvalve.control.Origin;

/** The way to origins. Nothing reaches an origin that is not the announced one. */
public interface Port {
    /** {@code TURNED}: the origin said that it did not run the request. */
    enum End {
        WHOLE,
        NOT_SENT,
        TURNED,
        BARRED,
        STRANGE,
        LOST,
        BAD
    }

    record Send(
            String service,
            String method,
            String path,
            String id,
            String key,
            byte[] body,
            String type,
            long span,
            Map<String, String> heads) {
        public Send(
                final String service,
                final String method,
                final String path,
                final String id,
                final String key,
                final byte[] body,
                final String type,
                final long span) {
            this(service, method, path, id, key, body, type, span, Map.of());
        }
    }

    /** What an origin told of its load with an answer; {@code slots} 0 where it told nothing. */
    record Load(int running, int waiting, int slots) {
        public static final Load NONE = new Load(0, 0, 0);
    }

    /** {@code tags}: names under which the answer may be purged. */
    record Got(End end, int status, Map<String, String> heads, byte[] body, String why, List<String> tags, Load load) {
        public Got(
                final End end, final int status, final Map<String, String> heads, final byte[] body, final String why) {
            this(end, status, heads, body, why, List.of(), Load.NONE);
        }

        public static Got none(final End end, final String why) {
            return new Got(end, 0, Map.of(), new byte[0], why);
        }
    }

    @FunctionalInterface
    interface Rope {
        void cut();
    }

    /** Asked in the last step before the request's bytes are written. */
    @FunctionalInterface
    interface Gate {
        boolean open();
    }

    Rope send(Origin to, Send what, Gate gate, Consumer<Got> then);

    /** What an answer lacks to be shown to a caller; empty where it lacks nothing. */
    default String fault(final Origin to, final Send sent, final Got got) {
        return AnswerCheck.fault(to, sent, got.heads(), got.body());
    }
}
