package org.rowanvalve.server.http;

import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/** The whole body of a request, read without blocking a thread. */
public final class RequestBody {
    private RequestBody() {}

    /** Fails where the body is longer than {@code maxBytes}, or ends early. */
    @SuppressWarnings("removal") // The method that replaces it takes a promise that no version before 12.1 has.
    public static CompletableFuture<byte[]> read(final Request request, final int maxBytes) {
        return Content.Source.asByteArrayAsync(request, maxBytes);
    }
}
