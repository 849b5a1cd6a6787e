package org.rowanvalve.server.options;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.control.json.JsonObjectReader;

/** Reads {@code IP:PORT} and {@code ID@IP:PORT}; whatever is wrong becomes an error at its place. */
final class AddressParser {
    static final String NODE_NAME = "[a-z0-9][a-z0-9-]{0,40}";

    private static final String UNNAMED = "[0-9.]+:[0-9]+";
    private static final String IP_AND_PORT = "[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}";
    private static final int MOST_PORT = 65_535;
    private final JsonObjectReader shape;

    AddressParser(final JsonObjectReader shape) {
        this.shape = shape;
    }

    /** An address to listen at, where port 0 stands for any free one; null where there is none or an error. */
    InetSocketAddress own(final String option, final String text) {
        return address(option, text, 0);
    }

    private InetSocketAddress address(final String place, final String text, final int leastPort) {
        if (text.isEmpty()) {
            return null;
        }
        if (!text.matches(IP_AND_PORT)) {
            shape.addError(place, "IP:PORT is wanted, not " + text);
            return null;
        }
        final int colon = text.indexOf(':');
        final int port = Integer.parseInt(text.substring(colon + 1));
        if (port > MOST_PORT || port < leastPort) {
            shape.addError(place, "port out of range");
            return null;
        }
        return new InetSocketAddress(text.substring(0, colon), port);
    }

    /** Other processes by name, in the order given. */
    Map<NodeId, InetSocketAddress> peers(final String option, final List<String> list) {
        final Map<NodeId, InetSocketAddress> peers = new LinkedHashMap<>();
        for (int i = 0; i < list.size(); i++) {
            peer(option + "/" + i, list.get(i), peers);
        }
        return peers;
    }

    private void peer(final String place, final String text, final Map<NodeId, InetSocketAddress> peers) {
        final int at = text.indexOf('@');
        final String id = at < 0 ? "" : text.substring(0, at);
        if (!id.matches(NODE_NAME)) {
            shape.addError(place, "ID@IP:PORT is wanted, not " + text);
            return;
        }
        final InetSocketAddress address = address(place, text.substring(at + 1), 1);
        if (address != null && peers.put(NodeId.of(id), address) != null) {
            shape.addError(place, id + " stands twice");
        }
    }

    /** Seeds, which may be given without a name, as {@code IP:PORT}; their wire port is {@code wirePort} unless 0. */
    Map<NodeId, InetSocketAddress> seeds(final String option, final List<String> list, final int wirePort) {
        return peers(option, list.stream().map(text -> withName(text, wirePort)).toList());
    }

    private static String withName(final String text, final int wirePort) {
        if (!text.matches(UNNAMED)) {
            return text;
        }
        final int colon = text.indexOf(':');
        final String host = text.substring(0, colon);
        final String port = wirePort > 0 ? String.valueOf(wirePort) : text.substring(colon + 1);
        return nodeName(host) + "@" + host + ":" + port;
    }

    /** Addresses of an adapter by the adapter's own names for them. */
    Map<String, InetSocketAddress> byName(final String option, final List<String> list) {
        final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        for (final String text : list) {
            final int at = text.indexOf('@');
            addresses.put(text.substring(0, Math.max(0, at)), own(option, text.substring(at + 1)));
        }
        return addresses;
    }

    /** A node without a name of its own is called by its address. */
    static String nodeName(final String host) {
        return "n" + host.replace('.', '-');
    }
}
