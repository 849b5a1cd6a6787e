package org.rowanvalve.data.origin;

import java.util.Map;
import org.rowanvalve.common.model.Hash;
import org.rowanvalve.control.config.Origin;

/** Checks that an origin's response is valid before it is forwarded to a client as a success. */
public final class OriginResponseValidator {
    public static final String INSTANCE_HEADER = "rv-stamp";
    public static final String REQUEST_HEADER = "rv-request";
    public static final String DIGEST_HEADER = "rv-digest";
    public static final String SERVICE_HEADER = "rv-service";

    private OriginResponseValidator() {}

    public static String error(
            final Origin origin,
            final OriginTransport.OutboundRequest request,
            final Map<String, String> headers,
            final byte[] body) {
        if (!origin.instance().equals(headers.get(INSTANCE_HEADER))) {
            return "stamp is not the announced one";
        }
        if (!request.requestId().equals(headers.get(REQUEST_HEADER))) {
            return "answer belongs to another request";
        }
        final String declaredLength = headers.get("content-length");
        if (declaredLength == null || !declaredLength.equals(String.valueOf(body.length))) {
            return "length differs";
        }
        return Hash.sha256Hex(body).equals(headers.get(DIGEST_HEADER)) ? "" : "digest differs";
    }
}
