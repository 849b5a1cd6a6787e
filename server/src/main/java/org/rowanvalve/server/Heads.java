package org.rowanvalve.server;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.server.Request;
import org.rowanvalve.control.Limits;

/** The stated limit of a request's head. */
public final class Heads {
    /** No more can be stated, and no more is read. */
    static final int MOST = 1 << 20;

    private static final int FIELD = 4;

    private Heads() {}

    public static boolean over(final Request req, final Limits limits) {
        long size = req.getMethod().length() + req.getHttpURI().toString().length() + 16;
        for (final HttpField f : req.getHeaders()) {
            size += f.getName().length()
                    + (f.getValue() == null ? 0 : f.getValue().length())
                    + FIELD;
        }
        return size > limits.headBytes();
    }
}
