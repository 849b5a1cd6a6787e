package org.rowanvalve.server.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;
import org.rowanvalve.common.model.RequestOutcome;
import org.rowanvalve.control.json.Json;

/**
 * Responses to requests that fail in the HTTP server, with a JSON reason. A request that was not handed to an edge was
 * not executed. One that was may have been, so its response must not be one of the statuses that promise the opposite.
 */
final class JsonErrorHandler extends ErrorHandler {
    @Override
    public boolean handle(final Request req, final Response res, final Callback done) {
        final Object why = req.getAttribute(ERROR_MESSAGE);
        final boolean submitted = ClientRequests.wasSubmitted(req);
        if (submitted) {
            res.setStatus(HttpStatus.GATEWAY_TIMEOUT_504);
        }
        final String fate = (submitted ? RequestOutcome.UNKNOWN : RequestOutcome.REFUSED).code();
        res.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        res.getHeaders().put("Rv-Fate", fate);
        final String text =
                Json.write(Map.of("fate", fate, "reason", why == null ? "malformed request" : String.valueOf(why)));
        res.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), done);
        return true;
    }
}
