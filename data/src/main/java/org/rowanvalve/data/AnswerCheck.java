package org.rowanvalve.data;

import java.util.Map;
import org.rowanvalve.common.Hash;
import org.rowanvalve.control.Origin;

/** What an origin's answer must show before any caller may see it as a success. */
public final class AnswerCheck {
    public static final String STAMP = "rv-stamp";
    public static final String REQUEST = "rv-request";
    public static final String DIGEST = "rv-digest";
    public static final String SERVICE = "rv-service";

    private AnswerCheck() {}

    public static String fault(
            final Origin to, final Port.Send sent, final Map<String, String> heads, final byte[] body) {
        if (!to.stamp().equals(heads.get(STAMP))) {
            return "stamp is not the announced one";
        }
        if (!sent.id().equals(heads.get(REQUEST))) {
            return "answer belongs to another request";
        }
        final String size = heads.get("content-length");
        if (size == null || !size.equals(String.valueOf(body.length))) {
            return "length differs";
        }
        return Hash.digest(body).equals(heads.get(DIGEST)) ? "" : "digest differs";
    }
}
