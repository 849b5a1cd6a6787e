package rv.data;

import java.util.Map;
import java.util.function.Consumer;
import rv.control.Origin;

/** The way to origins. Every circuit is asked who it is before its first request. */
public interface Port {
    enum End { WHOLE, NOT_SENT, BARRED, STRANGE, LOST, BAD }

    record Send(String service, String method, String path, String id, String key, byte[] body, String type, long span) {
    }

    record Got(End end, int status, Map<String, String> heads, byte[] body, String why) {
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
}
