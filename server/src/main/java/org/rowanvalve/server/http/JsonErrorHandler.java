package org.rowanvalve.server.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;
import org.rowanvalve.control.json.Json;

/** Malformed requests get their usual status with a JSON reason. */
final class JsonErrorHandler extends ErrorHandler {
    @Override
    public boolean handle(final Request req, final Response res, final Callback done) {
        final Object why = req.getAttribute(ERROR_MESSAGE);
        res.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        res.getHeaders().put("Rv-Fate", "refused");
        final String text = Json.write(
                Map.of("fate", "refused", "reason", why == null ? "malformed request" : String.valueOf(why)));
        res.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), done);
        return true;
    }
}
