package org.rowanvalve.common.model;

import java.util.Locale;

/** Names of hosts, which are the same in any case and with any port. */
public final class HostName {
    private HostName() {}

    /** Returns the one form in which hosts are stored and compared: in lower case, without a port. */
    public static String normalize(final String host) {
        final int portSeparator = host.lastIndexOf(':');
        final boolean hasPort = portSeparator > host.lastIndexOf(']');
        return (hasPort ? host.substring(0, portSeparator) : host).toLowerCase(Locale.ROOT);
    }
}
