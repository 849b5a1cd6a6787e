package org.rowanvalve.server.http;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.server.Request;
import org.rowanvalve.control.config.RequestLimits;

/** The stated limit of a request's head. */
public final class HeaderLimit {
    /** No more can be stated, and no more is read. */
    public static final int MOST = 1 << 20;

    private static final int FIELD = 4;

    private HeaderLimit() {}

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
