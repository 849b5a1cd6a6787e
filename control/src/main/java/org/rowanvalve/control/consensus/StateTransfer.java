package org.rowanvalve.control.consensus;

import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.rowanvalve.common.event.Event;
import org.rowanvalve.common.event.EventCode;
import org.rowanvalve.common.message.RegisterPosition;
import org.rowanvalve.common.message.Reply;
import org.rowanvalve.common.message.StateTransferRequest;
import org.rowanvalve.common.message.StateTransferResponse;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;

/**
 * Copies the accepted values of other voters into the state of a voter that has lost its own. It reads one source voter
 * after the other, page by page, and from each source only the buckets whose checksums differ from the state copied so
 * far. The transferred bytes therefore grow with the number of registers and hardly with the number of voters. If a
 * source fails, the copy continues with another one and later resumes the failed source at the position it had reached.
 *
 * <p>Safety: a source sends a page only after it has raised its ballot floor for this incarnation of the requester. A
 * register that is read after that contains the value that the source had accepted before, or a later one. A source
 * that has restarted is read again from its first page.
 */
final class StateTransfer {
    private static final long INITIAL_TIMEOUT_MILLIS = 500;
    private static final long MAX_TIMEOUT_MILLIS = 8000;
    private static final long RETRY_MS = 100;
    private static final long REPORT_INTERVAL_MS = 2000;

    private final VoterContext context;
    private final AcceptorState state;
    private final EventLoop loop;
    private final long epoch;
    private final boolean onlyCopy;
    private final Listener listener;
    private final Map<NodeId, Source> sources = new LinkedHashMap<>();
    private final Set<NodeId> copied = new HashSet<>();
    private Source active;
    private boolean stopped;
    private long timeoutMs = INITIAL_TIMEOUT_MILLIS;
    private long reportedAt;
    private int pages;
    private String lastFailure = "";

    /** Called in the event loop after each voter that was copied completely. */
    @FunctionalInterface
    interface Listener {
        void onCopied(Set<NodeId> copied);
    }

    /** The progress of the copy from one voter. */
    private static final class Source {
        private final NodeId id;
        private String incarnation;
        private List<Long> checksums;
        private RegisterPosition position;
        private int failures;

        Source(final NodeId id) {
            this.id = id;
        }

        void startAtFirstPage(final List<Long> ownChecksums) {
            checksums = ownChecksums;
            position = RegisterPosition.START;
        }
    }

    StateTransfer(
            final VoterContext context,
            final AcceptorState state,
            final long epoch,
            final boolean onlyCopy,
            final Listener listener) {
        this.context = context;
        this.state = state;
        this.loop = context.loop();
        this.epoch = epoch;
        this.onlyCopy = onlyCopy;
        this.listener = listener;
        this.reportedAt = loop.now();
    }

    boolean isForOnlyCopy() {
        return onlyCopy;
    }

    /** The voters that were copied completely. */
    Set<NodeId> copied() {
        return copied;
    }

    void stop() {
        stopped = true;
    }

    /** Adds these voters as sources, and continues the copy if no request is in progress. */
    void addSources(final Set<NodeId> voters) {
        voters.forEach(id -> sources.computeIfAbsent(id, Source::new));
        continueCopy();
    }

    private void continueCopy() {
        if (stopped || active != null) {
            return;
        }
        final Optional<Source> next = sources.values().stream()
                .filter(source -> !copied.contains(source.id))
                .min(Comparator.comparingInt(source -> source.failures));
        next.ifPresent(this::requestPage);
    }

    private void requestPage(final Source source) {
        active = source;
        if (source.position == null) {
            source.startAtFirstPage(state.checksums());
        }
        final long sentAt = loop.now();
        context.transport()
                .request(
                        source.id,
                        new StateTransferRequest(
                                epoch, context.incarnation(), true, onlyCopy, source.checksums, source.position),
                        timeoutMs,
                        reply -> onReply(source, sentAt, reply));
    }

    private void onReply(final Source source, final long sentAt, final Reply reply) {
        context.votingConfiguration().isEpochMismatch(source.id, reply);
        if (stopped) {
            return;
        }
        final StateTransferResponse response = reply.as(StateTransferResponse.class)
                .filter(StateTransferResponse::hasState)
                .orElse(null);
        if (response == null) {
            onFailure(source, reply);
        } else {
            timeoutMs = Math.max(INITIAL_TIMEOUT_MILLIS, Math.min(timeoutMs, 2 * (loop.now() - sentAt)));
            onPage(source, response);
        }
        report();
    }

    private void onFailure(final Source source, final Reply reply) {
        source.failures++;
        lastFailure = source.id + ": " + reply;
        timeoutMs = Math.min(MAX_TIMEOUT_MILLIS, 2 * timeoutMs);
        loop.schedule(RETRY_MS, () -> {
            active = null;
            continueCopy();
        });
    }

    private void onPage(final Source source, final StateTransferResponse response) {
        active = null;
        pages++;
        state.adopt(response.founders(), response.ballotFloor(), response.resumptions());
        response.registers().forEach(state::merge);
        final boolean restarted = source.incarnation != null && !source.incarnation.equals(response.incarnation());
        source.incarnation = response.incarnation();
        if (restarted) {
            source.startAtFirstPage(state.checksums());
        } else if (response.next() != null) {
            source.position = response.next();
        } else {
            copied.add(source.id);
            listener.onCopied(copied);
        }
        continueCopy();
    }

    /** Adds the progress of the copy and the last failure to the journal, at most once in each interval. */
    private void report() {
        if (loop.now() - reportedAt >= REPORT_INTERVAL_MS) {
            reportedAt = loop.now();
            context.journal()
                    .add(Event.of(
                            EventCode.REBUILDING,
                            "items",
                            state.registers().size(),
                            "pages",
                            pages,
                            "copied",
                            copied.size(),
                            "sources",
                            sources.size(),
                            "failed",
                            lastFailure));
            lastFailure = "";
        }
    }
}
