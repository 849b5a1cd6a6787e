package org.rowanvalve.control.operator;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.message.AcceptRequest;
import org.rowanvalve.common.message.AcceptedChecksumsRequest;
import org.rowanvalve.common.message.AckResponse;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.DigestRequest;
import org.rowanvalve.common.message.LearnNotification;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.MessageCodec;
import org.rowanvalve.common.message.MissingItemsRequest;
import org.rowanvalve.common.message.PrepareRequest;
import org.rowanvalve.common.message.RejectedResponse;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.message.StateTransferRequest;
import org.rowanvalve.common.message.UpdateForwardRequest;
import org.rowanvalve.common.model.Item;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.common.model.ItemKind;
import org.rowanvalve.common.model.LeaseTimings;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.StableStorage;
import org.rowanvalve.common.runtime.StorageException;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.VirtualTimeLoop;
import org.rowanvalve.control.config.Service;
import org.rowanvalve.control.consensus.Acceptor;
import org.rowanvalve.control.consensus.MonitoredStorage;
import org.rowanvalve.control.consensus.Proposer;
import org.rowanvalve.control.consensus.UnfinishedWriteRecovery;
import org.rowanvalve.control.json.Json;
import org.rowanvalve.control.store.ItemStore;
import org.rowanvalve.control.view.ViewServer;
import org.rowanvalve.control.view.ViewSynchronizer;
import org.rowanvalve.control.voting.Quorum;
import org.rowanvalve.control.voting.StoreHealth;
import org.rowanvalve.control.voting.VotingConfiguration;

/**
 * Five nodes that accept updates, three of them voters with disks, on virtual time; any node may crash at any message.
 */
final class UpdateCluster {
    static final List<NodeId> IDS =
            List.of("n0", "n1", "n2", "n3", "n4").stream().map(NodeId::of).toList();
    private static final List<NodeId> VOTERS = IDS.subList(0, 3);
    private static final long SYNC_MS = 2;

    final VirtualTimeLoop loop = new VirtualTimeLoop();
    final Random random;
    /** Every service version that any node has learned as chosen, as {@code ITEM VERSION NOTE}. */
    final Set<String> observed = new HashSet<>();

    private final Map<NodeId, Node> nodes = new TreeMap<>();
    private final Map<NodeId, Map<String, byte[]>> disks = new HashMap<>();
    private final Set<NodeId> partitioned = new HashSet<>();
    private Optional<NodeId> preferred = Optional.empty();
    private double loss;
    private int boots;
    private UpdateLimits limits;
    private int largestRequestBytes;

    UpdateCluster(final long seed) {
        this(seed, UpdateLimits.DEFAULTS);
    }

    UpdateCluster(final long seed, final UpdateLimits limits) {
        random = new Random(seed);
        this.limits = limits;
        IDS.forEach(this::start);
        loop.run(4000);
    }

    void setPreferredSequencer(final NodeId id) {
        preferred = Optional.of(id);
    }

    /** The fraction of requests, and likewise of responses, that are lost. */
    void setLossRate(final double fraction) {
        loss = fraction;
    }

    void partition(final NodeId id) {
        partitioned.add(id);
    }

    void healPartition() {
        partitioned.clear();
    }

    void start(final NodeId id) {
        final Node node = new Node(id, ++boots);
        nodes.put(id, node);
        node.start();
    }

    /** Restarts all nodes at once with these limits. */
    void restart(final UpdateLimits next) {
        limits = next;
        IDS.forEach(this::crash);
        IDS.forEach(this::start);
        loop.run(6000);
    }

    boolean isAlive(final NodeId id) {
        return nodes.get(id).alive;
    }

    void crash(final NodeId id) {
        nodes.get(id).alive = false;
    }

    /** The node crashes instead of sending its {@code n}-th message from now on. */
    void crashAtMessage(final NodeId id, final int n) {
        nodes.get(id).messagesUntilCrash = n;
    }

    int messages(final NodeId id) {
        return nodes.get(id).sent;
    }

    /** The size of the largest request for missing items that any node has sent since the last call, in bytes. */
    int takeLargestRequestBytes() {
        final int largest = largestRequestBytes;
        largestRequestBytes = 0;
        return largest;
    }

    Item item(final NodeId at, final ItemId id) {
        return nodes.get(at).items.get(id);
    }

    /** The number of disks that contain the item. */
    long diskCount(final ItemId id) {
        return disks.values().stream()
                .filter(disk -> disk.containsKey("e/" + id.text()))
                .count();
    }

    UpdateService updateService(final NodeId at) {
        return nodes.get(at).updateService;
    }

    OriginRegistry registry(final NodeId at) {
        return nodes.get(at).registry;
    }

    /** Sends an update; the callback gets the status unless the node crashes first. */
    void sendUpdate(final NodeId at, final String text, final IntConsumer callback) {
        final Node node = nodes.get(at);
        if (node.alive) {
            node.updateService.apply(text.getBytes(StandardCharsets.UTF_8), response -> {
                if (node.alive) {
                    callback.accept(response.status());
                }
            });
        }
    }

    /** An update that sets services of these names, each with the note, under one version. */
    static String setServices(final long version, final String note, final String... names) {
        final Map<String, Object> services = new TreeMap<>();
        for (final String n : names) {
            services.put(n, Map.of("kind", "open", "note", note, "version", version));
        }
        return Json.write(Map.of("set", Map.of("services", services)));
    }

    static ItemId service(final String name) {
        return new ItemId(ItemKind.SERVICE, name);
    }

    static String note(final Item item) {
        return item.exists() ? Json.read(item.body(), Service.class).note() : "gone";
    }

    private void recordObserved(final Item item) {
        if (item.id().kind() == ItemKind.SERVICE) {
            observed.add(item.id().name() + " " + item.version().number() + " " + note(item));
        }
    }

    /** One node: its timers and messages end with the process, its disk is kept. */
    private final class Node implements EventLoop, Transport, StableStorage {
        private final NodeId id;
        private final ItemStore items;
        private final ViewSynchronizer view;
        private final UpdateService updateService;
        private final OriginRegistry registry;
        private final Acceptor acceptor;
        private final ViewServer viewServer;
        private final UnfinishedWriteRecovery recovery;
        private boolean alive = true;
        private int messagesUntilCrash = Integer.MAX_VALUE;
        private int sent;

        Node(final NodeId id, final int boot) {
            this.id = id;
            final EventJournal journal = new EventJournal(this, 100);
            final String name = "b" + boot;
            items = new ItemStore(this, journal);
            items.addListener(UpdateCluster.this::recordObserved);
            final VotingConfiguration votingConfiguration = VotingConfiguration.of(new Quorum(VOTERS, Set.of()));
            acceptor = VOTERS.contains(id)
                    ? new Acceptor(
                            id,
                            votingConfiguration,
                            this,
                            this,
                            new MonitoredStorage(this, this),
                            journal,
                            name,
                            boot <= IDS.size(),
                            () -> items.all().isEmpty())
                    : null;
            view = new ViewSynchronizer(
                    votingConfiguration, this, this, items, LeaseTimings.DEFAULT, journal, this::learn, e -> {});
            final Proposer proposer = new Proposer(
                    id,
                    name,
                    votingConfiguration,
                    this,
                    this,
                    new Random(random.nextLong()),
                    journal,
                    items,
                    () -> IDS,
                    new StoreHealth(votingConfiguration.quorum(), this, journal));
            final int[] writeIdCount = {0};
            updateService = new UpdateService(
                    this,
                    this,
                    items,
                    view,
                    proposer,
                    journal,
                    () -> id + name + "-" + ++writeIdCount[0],
                    () -> preferred.filter(p -> !p.equals(id)),
                    limits);
            registry =
                    new OriginRegistry(this, items, view, proposer, journal, () -> id + name + "-" + ++writeIdCount[0]);
            viewServer = acceptor == null ? null : new ViewServer(acceptor, items, this);
            recovery = acceptor == null
                    ? null
                    : new UnfinishedWriteRecovery(
                            acceptor,
                            items,
                            proposer,
                            this,
                            new Random(random.nextLong()),
                            () -> VOTERS.indexOf(id),
                            journal);
        }

        private void learn(final ChosenItem chosen) {
            if (acceptor != null) {
                acceptor.learn(chosen);
            }
            items.merge(chosen);
        }

        void start() {
            if (acceptor != null) {
                try {
                    acceptor.start();
                } catch (final StorageException e) {
                    throw new IllegalStateException(e);
                }
                recovery.start();
                updateService.start(VOTERS.indexOf(id));
            }
            view.start();
        }

        @Override
        public long now() {
            return loop.now();
        }

        @Override
        public void schedule(final long ms, final Runnable job) {
            loop.schedule(ms, () -> {
                if (alive) {
                    job.run();
                }
            });
        }

        @Override
        public Map<String, byte[]> load() {
            return Map.copyOf(disks.computeIfAbsent(id, k -> new HashMap<>()));
        }

        @Override
        public void save(final Map<String, byte[]> rows, final Consumer<Boolean> done) {
            schedule(SYNC_MS, () -> {
                final Map<String, byte[]> disk = disks.computeIfAbsent(id, k -> new HashMap<>());
                rows.forEach((k, v) -> {
                    if (v == null) {
                        disk.remove(k);
                    } else {
                        disk.put(k, v);
                    }
                });
                done.accept(true);
            });
        }

        @Override
        public void request(
                final NodeId recipient, final Message message, final long wait, final Consumer<Reply> callback) {
            if (--messagesUntilCrash < 0) {
                alive = false;
            }
            if (!alive) {
                return;
            }
            sent++;
            if (message instanceof MissingItemsRequest) {
                largestRequestBytes = Math.max(largestRequestBytes, MessageCodec.encode(message).length);
            }
            final boolean[] answered = {false};
            final Consumer<Reply> once = reply -> {
                if (alive && !answered[0]) {
                    answered[0] = true;
                    callback.accept(reply);
                }
            };
            loop.schedule(wait, () -> once.accept(Reply.failed(Reply.Failure.NO_RESPONSE)));
            if (isReachable(recipient)) {
                loop.schedule(delayMs(recipient), () -> arrive(recipient, message, once));
            }
        }

        private void arrive(final NodeId recipient, final Message message, final Consumer<Reply> callback) {
            final Node other = nodes.get(recipient);
            if (!recipient.equals(id) && isTooLarge(recipient, message)) {
                callback.accept(Reply.failed(Reply.Failure.NOT_SENT));
            } else if (other.alive) {
                other.handle(id, message, response -> {
                    if (other.alive && isReachable(recipient)) {
                        final Message answer = isTooLarge(recipient, response)
                                ? new RejectedResponse("larger than a frame")
                                : response;
                        loop.schedule(delayMs(recipient), () -> callback.accept(Reply.of(answer)));
                    }
                });
            }
        }

        private boolean isTooLarge(final NodeId recipient, final Message message) {
            return MessageCodec.encode(new MessageCodec.Frame(MessageCodec.PROTOCOL_VERSION, 1, 1, recipient, message))
                            .length
                    > MessageCodec.MAX_FRAME_BYTES;
        }

        private boolean isReachable(final NodeId recipient) {
            return recipient.equals(id)
                    || !partitioned.contains(id) && !partitioned.contains(recipient) && random.nextDouble() >= loss;
        }

        private long delayMs(final NodeId recipient) {
            return recipient.equals(id) ? 0 : 8 + random.nextInt(12);
        }

        private void handle(final NodeId from, final Message message, final Consumer<Message> callback) {
            if (message instanceof LearnNotification request) {
                request.items().forEach(this::learn);
                callback.accept(new AckResponse());
            } else if (message instanceof UpdateForwardRequest request) {
                updateService.onForwarded(request, callback);
            } else if (acceptor == null) {
                callback.accept(new RejectedResponse("no voter"));
            } else if (message instanceof PrepareRequest request) {
                acceptor.prepare(request, callback);
            } else if (message instanceof AcceptRequest request) {
                acceptor.accept(request, callback);
            } else if (message instanceof AcceptedChecksumsRequest request) {
                acceptor.acceptedChecksums(request, callback);
            } else if (message instanceof StateTransferRequest request) {
                acceptor.transferState(from, request, callback);
            } else if (message instanceof DigestRequest request) {
                viewServer.onDigestRequest(request, callback);
            } else if (message instanceof MissingItemsRequest request) {
                viewServer.onMissingItemsRequest(request, callback);
            } else {
                callback.accept(new RejectedResponse("not done here"));
            }
        }
    }

    /** An operator's client, which repeats an update at other nodes until the response is final. */
    final class Client {
        final String text;
        /** 200 or a 4xx; 0 while there is no final response. */
        int status;

        private final double lost;
        private int attempts;

        /** {@code lost}: the fraction of responses that do not reach the client. */
        Client(final String text, final double lost) {
            this.text = text;
            this.lost = lost;
        }

        void send(final NodeId at) {
            final int attempt = ++attempts;
            sendUpdate(at, text, received -> {
                if (random.nextDouble() >= lost) {
                    onStatus(attempt, received);
                }
            });
            loop.schedule(1000, () -> retry(attempt));
        }

        private void onStatus(final int attempt, final int received) {
            if (received / 100 == 5) {
                retry(attempt);
            } else if (status == 0) {
                status = received;
            }
        }

        private void retry(final int attempt) {
            if (status == 0 && attempt == attempts) {
                attempts++;
                loop.schedule(50 + random.nextInt(200), () -> send(IDS.get(random.nextInt(IDS.size()))));
            }
        }
    }

    List<NodeId> liveNodes() {
        return new ArrayList<>(IDS.stream().filter(this::isAlive).toList());
    }
}
