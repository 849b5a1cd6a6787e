package org.rowanvalve.server.origin;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;

/**
 * Collects one response, up to a limit for its body. Each part is copied when it comes: the library's buffers and its response
 * object may hold other bytes by the time at which the request is completed.
 */
final class ResponseCollector implements Response.Listener {
    private final int bodyLimit;
    private final Consumer<Collected> listener;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private HttpFields headers = HttpFields.EMPTY;
    private int status;

    /** {@code failure}: why there is no whole response; null where there is one. */
    record Collected(int status, HttpFields headers, byte[] body, Throwable failure) {
        boolean isWhole() {
            return failure == null;
        }
    }

    /** {@code listener} is called once, in a thread of the library. */
    ResponseCollector(final int bodyLimit, final Consumer<Collected> listener) {
        this.bodyLimit = bodyLimit;
        this.listener = listener;
    }

    @Override
    public void onHeaders(final Response response) {
        final HttpFields.Mutable copy = HttpFields.build();
        response.getHeaders().forEach((HttpField field) -> copy.add(field));
        headers = copy.asImmutable();
        status = response.getStatus();
    }

    @Override
    public void onContent(final Response response, final ByteBuffer content) {
        if (body.size() + content.remaining() > bodyLimit) {
            response.abort(new IllegalStateException("the body is over " + bodyLimit + " bytes"));
            return;
        }
        final byte[] copy = new byte[content.remaining()];
        content.get(copy);
        body.writeBytes(copy);
    }

    @Override
    public void onComplete(final Result result) {
        listener.accept(new Collected(status, headers, body.toByteArray(), result.getFailure()));
    }
}
