package org.rowanvalve.data.node;

import java.util.List;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.data.edge.Edge;
import org.rowanvalve.data.edge.MembershipRouting;
import org.rowanvalve.data.origin.OriginDispatcher;
import org.rowanvalve.data.settings.NodeSettings;

/**
 * The components of an edge: the handling of client requests, and a dispatcher that sends requests to origins directly
 * while it knows no live shield.
 */
final class EdgeComponents {
    private final OriginDispatcher dispatcher;
    private final Edge edge;

    EdgeComponents(
            final NodeSettings settings,
            final Node.Runtime runtime,
            final CoreComponents core,
            final EventJournal journal) {
        dispatcher = new OriginDispatcher(
                settings,
                runtime.loop(),
                runtime.transport(),
                runtime.originTransport(),
                core.configuration,
                null,
                DispatcherClusterView.of(settings, core, List::of),
                journal);
        edge = new Edge(
                runtime.loop(),
                runtime.transport(),
                core.configuration,
                core.viewSynchronizer::isFresh,
                settings.shards(),
                journal,
                settings.cacheBytes(),
                new MembershipRouting(settings, core.membership, core.votingConfiguration, dispatcher),
                settings.self().incarnation());
    }

    OriginDispatcher dispatcher() {
        return dispatcher;
    }

    Edge edge() {
        return edge;
    }
}
