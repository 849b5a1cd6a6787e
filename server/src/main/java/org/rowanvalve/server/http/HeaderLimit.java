package org.rowanvalve.server.http;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.server.Request;
import org.rowanvalve.control.config.RequestLimits;

/** The configured limit of a request's headers, in bytes. */
public final class HeaderLimit {
    /** The largest limit that can be configured, and the most that is read. */
    public static final int MOST = 1 << 20;

    private static final int FIELD = 4;

    private HeaderLimit() {}

    /** Whether the request line and the headers together exceed the limit. */
    public static boolean over(final Request req, final RequestLimits limits) {
        long size = req.getMethod().length() + req.getHttpURI().toString().length() + 16;
        for (final HttpField field : req.getHeaders()) {
            size += field.getName().length()
                    + (field.getValue() == null ? 0 : field.getValue().length())
                    + FIELD;
        }
        return size > limits.headerBytes();
    }
}
