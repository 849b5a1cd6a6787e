package org.rowanvalve.data.origin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.model.Ballot;
import org.rowanvalve.common.model.CancelCause;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.LeaseTimings;
import org.rowanvalve.common.model.Member;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.model.NodeStatus;
import org.rowanvalve.common.model.Role;
import org.rowanvalve.common.model.Version;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.config.ConfigurationView;
import org.rowanvalve.control.config.Origin;
import org.rowanvalve.control.config.Service;
import org.rowanvalve.control.config.ServiceKind;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.lease.LeaseHolder;
import org.rowanvalve.control.store.ItemStore;
import org.rowanvalve.data.VirtualTimeLoop;
import org.rowanvalve.data.cancel.Cancellation;
import org.rowanvalve.data.limit.AttemptAllowance;
import org.rowanvalve.data.settings.NodeSettings;

/** A dispatcher on virtual time, origins whose responses the test triggers, and requests that can be cancelled. */
abstract class CancellationFixture {
    /** A rate limit of which this node has a tenth, that is one request each 100 ms. */
    static final double PACED_RATE = 100;

    final VirtualTimeLoop loop = new VirtualTimeLoop();
    final EventJournal journal = new EventJournal(loop, 1000);
    private final ItemStore items = new ItemStore(loop, journal);
    private final ConfigurationView configuration = new ConfigurationView(items);
    private final Transport transport = (recipient, message, timeout, callback) -> {};
    final List<Sent> sent = new ArrayList<>();
    final List<Connecting> connecting = new ArrayList<>();
    final List<OriginDispatcher.Completion> ends = new ArrayList<>();
    final List<IntConsumer> askedForAttempts = new ArrayList<>();
    boolean slowConnections;
    final OriginDispatcher dispatcher = dispatcher();

    /** A request whose bytes have been written. */
    static final class Sent implements OriginTransport.Exchange {
        private final String origin;
        final String path;
        final Consumer<OriginTransport.OriginResponse> callback;
        boolean aborted;

        Sent(final String origin, final String path, final Consumer<OriginTransport.OriginResponse> callback) {
            this.origin = origin;
            this.path = path;
            this.callback = callback;
        }

        @Override
        public void abort() {
            aborted = true;
        }

        void answer(final OriginTransport.Load load) {
            callback.accept(new OriginTransport.OriginResponse(
                    OriginTransport.ExchangeResult.COMPLETE, 200, Map.of(), new byte[0], "", List.of(), load));
        }
    }

    /** A request whose connection is being opened. */
    final class Connecting implements OriginTransport.Exchange {
        final OriginTransport.Permission permission;
        final Consumer<OriginTransport.OriginResponse> callback;
        boolean aborted;

        Connecting(
                final OriginTransport.Permission permission, final Consumer<OriginTransport.OriginResponse> callback) {
            this.permission = permission;
            this.callback = callback;
        }

        @Override
        public void abort() {
            aborted = true;
        }
    }

    private OriginDispatcher dispatcher() {
        final Member self = new Member(NodeId.of("me"), Role.SHIELD, "z", "127.0.0.1", 1, "b", NodeStatus.READY, "1");
        final OriginTransport origins = new OriginTransport() {
            @Override
            public Exchange send(
                    final Origin origin,
                    final OutboundRequest request,
                    final Permission permission,
                    final Consumer<OriginResponse> callback) {
                if (slowConnections) {
                    connecting.add(new Connecting(permission, callback));
                    return connecting.get(connecting.size() - 1);
                }
                if (!permission.mayWrite()) {
                    callback.accept(OriginResponse.failure(ExchangeResult.NOT_PERMITTED, "not permitted"));
                    return () -> {};
                }
                sent.add(new Sent(origin.instance(), request.path(), callback));
                return sent.get(sent.size() - 1);
            }

            @Override
            public String error(final Origin origin, final OutboundRequest request, final OriginResponse response) {
                return "";
            }
        };
        final LeaseHolder leases = new LeaseHolder(
                loop,
                transport,
                items,
                LeaseTimings.DEFAULT,
                journal,
                () -> true,
                List::of,
                (shard, reason, grace, done) -> done.accept(true));
        return new OriginDispatcher(
                NodeSettings.builderFor(self).retryLimits(0.2, 60).build(),
                loop,
                transport,
                origins,
                configuration,
                leases,
                new OriginDispatcher.ClusterView(() -> true, () -> true, List::of, () -> 1),
                journal);
    }

    private void put(final ItemKind kind, final String name, final Object body) {
        items.merge(new ChosenItem(
                Ballot.ZERO, new Item(new ItemId(kind, name), new Version(1), Json.write(body), false, "")));
    }

    void service(final double rateLimit) {
        put(ItemKind.SERVICE, "s", new Service(ServiceKind.OPEN, 0, 1000, 5000, rateLimit, 0, ""));
    }

    void origin(final String name, final int slots) {
        put(
                ItemKind.ORIGIN,
                name,
                new Origin("s", "10.0.0.1", 80, name, ServiceKind.OPEN, 0, 0, false, 1, "z", slots, 0));
    }

    /** A cancellable request, given to the dispatcher on construction. */
    final class PendingRequest {
        final Cancellation cancellation = new Cancellation();
        final AttemptAllowance attempts;

        PendingRequest(final String path, final boolean atMostOnce, final OriginRequest.WhenCancelled whenCancelled) {
            attempts = AttemptAllowance.of(1, askedForAttempts::add);
            dispatcher.send(
                    new OriginRequest(
                            OriginRequest.NO_SHARD,
                            new OriginTransport.OutboundRequest("s", "GET", path, "id" + path, null, null, null, 0),
                            atMostOnce,
                            loop.now() + 3000,
                            0,
                            attempts,
                            false,
                            cancellation,
                            whenCancelled),
                    ends::add);
            loop.run(1);
        }

        PendingRequest(final String path) {
            this(path, false, OriginRequest.WhenCancelled.ABORT_SENT);
        }

        void cancel() {
            cancellation.request(CancelCause.CLIENT_LEFT);
        }
    }

    void assertEndedUnsent(final PendingRequest pending) {
        assertEquals(1, ends.size());
        assertFalse(ends.get(0).mayHaveRun());
        assertEquals(1, pending.attempts.unused(), "the attempt is released");
    }
}
