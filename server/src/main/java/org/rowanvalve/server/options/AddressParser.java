package org.rowanvalve.server.options;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.control.json.JsonObjectReader;

/** Reads {@code IP:PORT} and {@code ID@IP:PORT} and reports each invalid address with the path of its option. */
final class AddressParser {
    static final String NODE_NAME = "[a-z0-9][a-z0-9-]{0,40}";

    private static final String UNNAMED_SEED = "[0-9.]+:[0-9]+";
    private static final String IP_AND_PORT = "[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}";
    private static final int MAX_PORT = 65_535;
    private final JsonObjectReader reader;

    AddressParser(final JsonObjectReader reader) {
        this.reader = reader;
    }

    /** Parses an address to listen at. Port 0 means any free port. Returns null if the text is empty or invalid. */
    InetSocketAddress listenAddress(final String option, final String text) {
        return address(option, text, 0);
    }

    private InetSocketAddress address(final String path, final String text, final int minPort) {
        if (text.isEmpty()) {
            return null;
        }
        if (!text.matches(IP_AND_PORT)) {
            reader.addError(path, "IP:PORT is wanted, not " + text);
            return null;
        }
        final int colon = text.indexOf(':');
        final int port = Integer.parseInt(text.substring(colon + 1));
        if (port > MAX_PORT || port < minPort) {
            reader.addError(path, "port out of range");
            return null;
        }
        return new InetSocketAddress(text.substring(0, colon), port);
    }

    /** Parses the addresses of other processes by node name, in the given order. */
    Map<NodeId, InetSocketAddress> peers(final String option, final List<String> list) {
        final Map<NodeId, InetSocketAddress> peers = new LinkedHashMap<>();
        for (int i = 0; i < list.size(); i++) {
            peer(option + "/" + i, list.get(i), peers);
        }
        return peers;
    }

    private void peer(final String path, final String text, final Map<NodeId, InetSocketAddress> peers) {
        final int at = text.indexOf('@');
        final String id = at < 0 ? "" : text.substring(0, at);
        if (!id.matches(NODE_NAME)) {
            reader.addError(path, "ID@IP:PORT is wanted, not " + text);
            return;
        }
        final InetSocketAddress address = address(path, text.substring(at + 1), 1);
        if (address != null && peers.put(NodeId.of(id), address) != null) {
            reader.addError(path, id + " stands twice");
        }
    }

    /** Parses seeds. One without a name, {@code IP:PORT}, gets {@code wirePort} as its port unless that is 0. */
    Map<NodeId, InetSocketAddress> seeds(final String option, final List<String> list, final int wirePort) {
        return peers(option, list.stream().map(text -> addName(text, wirePort)).toList());
    }

    private static String addName(final String text, final int wirePort) {
        if (!text.matches(UNNAMED_SEED)) {
            return text;
        }
        final int colon = text.indexOf(':');
        final String host = text.substring(0, colon);
        final String port = wirePort > 0 ? String.valueOf(wirePort) : text.substring(colon + 1);
        return nodeName(host) + "@" + host + ":" + port;
    }

    /** Parses the additional addresses of an adapter by the names that the adapter gives them. */
    Map<String, InetSocketAddress> byName(final String option, final List<String> list) {
        final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        for (final String text : list) {
            final int at = text.indexOf('@');
            addresses.put(text.substring(0, Math.max(0, at)), listenAddress(option, text.substring(at + 1)));
        }
        return addresses;
    }

    /** Derives the name of a node without a configured name from its address. */
    static String nodeName(final String host) {
        return "n" + host.replace('.', '-');
    }
}
