package org.rowanvalve.data.node;

import java.util.function.Consumer;
import org.rowanvalve.common.message.AcceptRequest;
import org.rowanvalve.common.message.AcceptedChecksumsRequest;
import org.rowanvalve.common.message.AckResponse;
import org.rowanvalve.common.message.AttemptGrantRequest;
import org.rowanvalve.common.message.AttemptGrantResponse;
import org.rowanvalve.common.message.CancelRequest;
import org.rowanvalve.common.message.ChosenItem;
import org.rowanvalve.common.message.DigestRequest;
import org.rowanvalve.common.message.FenceAckRequest;
import org.rowanvalve.common.message.ForwardRequest;
import org.rowanvalve.common.message.HeartbeatRequest;
import org.rowanvalve.common.message.LearnNotification;
import org.rowanvalve.common.message.LeaseGrantRequest;
import org.rowanvalve.common.message.LeaseHelloRequest;
import org.rowanvalve.common.message.LeaseRenewRequest;
import org.rowanvalve.common.message.LeaseRevokeRequest;
import org.rowanvalve.common.message.LoadReport;
import org.rowanvalve.common.message.Message;
import org.rowanvalve.common.message.MissingItemsRequest;
import org.rowanvalve.common.message.OpenForwardsRequest;
import org.rowanvalve.common.message.OpenForwardsResponse;
import org.rowanvalve.common.message.OutcomeRequest;
import org.rowanvalve.common.message.PrepareRequest;
import org.rowanvalve.common.message.RecordChecksumsRequest;
import org.rowanvalve.common.message.RecordHandoverRequest;
import org.rowanvalve.common.message.RecordPageRequest;
import org.rowanvalve.common.message.RecordReadRequest;
import org.rowanvalve.common.message.RecordWriteRequest;
import org.rowanvalve.common.message.RegisterHandoverRequest;
import org.rowanvalve.common.message.RejectedResponse;
import org.rowanvalve.common.message.StandbyPrepareRequest;
import org.rowanvalve.common.message.StateTransferRequest;
import org.rowanvalve.common.message.StatusRequest;
import org.rowanvalve.common.message.StatusResponse;
import org.rowanvalve.common.message.UpdateForwardRequest;
import org.rowanvalve.common.message.VotersRequest;
import org.rowanvalve.common.message.VotersResponse;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.Transport;

/** Dispatches each message to the component of the node that handles it. */
final class MessageRouter {
    private final Node node;
    private final Consumer<ChosenItem> learner;

    MessageRouter(final Node node, final Consumer<ChosenItem> learner) {
        this.node = node;
        this.learner = learner;
    }

    void route(final NodeId from, final Message message, final Transport.Responder callback) {
        if (message instanceof OutcomeRequest request
                && request.attemptId() != null
                && node.shield().isPresent()) {
            node.shield().get().keyedRequests().onOutcomeRequest(request, callback);
            return;
        }
        if (node.voter().isPresent() && routeToVoter(node.voter().get(), from, message, callback)) {
            return;
        }
        routeOther(from, message, callback);
    }

    private boolean routeToVoter(
            final VoterComponents voter, final NodeId from, final Message message, final Consumer<Message> callback) {
        if (message instanceof PrepareRequest request) {
            voter.acceptor().prepare(request, callback);
        } else if (message instanceof AcceptRequest request) {
            voter.acceptor().accept(request, callback);
        } else if (message instanceof AcceptedChecksumsRequest request) {
            voter.acceptor().acceptedChecksums(request, callback);
        } else if (message instanceof StateTransferRequest request) {
            voter.acceptor().transferState(from, request, callback);
        } else if (message instanceof DigestRequest request) {
            voter.viewServer().onDigestRequest(request, callback);
        } else if (message instanceof MissingItemsRequest request) {
            voter.viewServer().onMissingItemsRequest(request, callback);
        } else if (message instanceof RegisterHandoverRequest request) {
            voter.acceptor().handOverRegisters(from, request, callback);
        } else if (message instanceof RecordHandoverRequest request) {
            voter.acceptor().handOverRecords(from, request, callback);
        } else if (message instanceof StandbyPrepareRequest request) {
            voter.keyedRecords()
                    .prepareStandby(recordsReady -> voter.acceptor()
                            .prepareStandby(
                                    request.epoch(),
                                    recordsReady
                                            && node.viewSynchronizer().isFresh()
                                            && node.viewSynchronizer().isConfirmedInEpoch(),
                                    callback));
        } else {
            return routeToRecords(message, callback);
        }
        return true;
    }

    /**
     * Routes messages about the records of keyed requests. An outcome can be read in any epoch; all other messages must
     * carry the current epoch.
     */
    private boolean routeToRecords(final Message message, final Consumer<Message> callback) {
        if (message instanceof RecordReadRequest request) {
            inCurrentEpoch(request.epoch(), callback, () -> node.keyedRecords().onRead(request, callback));
        } else if (message instanceof RecordWriteRequest request) {
            inCurrentEpoch(request.epoch(), callback, () -> node.keyedRecords().onWrite(request, callback));
        } else if (message instanceof RecordChecksumsRequest request) {
            inCurrentEpoch(request.epoch(), callback, () -> node.keyedRecords().onChecksumsRequest(request, callback));
        } else if (message instanceof RecordPageRequest request) {
            inCurrentEpoch(request.epoch(), callback, () -> node.keyedRecords().onPageRequest(request, callback));
        } else if (message instanceof OutcomeRequest request) {
            node.keyedRecords().onOutcomeRequest(request, callback);
        } else {
            return false;
        }
        return true;
    }

    /** Runs {@code handler} if {@code epoch} is the current epoch; otherwise responds with the rejection. */
    private void inCurrentEpoch(final long epoch, final Consumer<Message> callback, final Runnable handler) {
        node.acceptor().rejection(epoch).ifPresentOrElse(callback, handler);
    }

    private void routeOther(final NodeId from, final Message message, final Transport.Responder callback) {
        if (message instanceof LearnNotification request) {
            request.items().forEach(learner);
            callback.accept(new AckResponse());
        } else if (message instanceof UpdateForwardRequest request) {
            node.updateService().onForwarded(request, callback);
        } else if (message instanceof HeartbeatRequest request) {
            node.membership().onHeartbeat(request, callback);
        } else if (message instanceof LeaseHelloRequest request && node.leader().isPresent()) {
            node.leader().get().leaseManager().onHello(from, request, callback);
        } else if (message instanceof LeaseRenewRequest request && node.leader().isPresent()) {
            node.leader().get().leaseManager().onRenew(from, request, callback);
        } else if (message instanceof LeaseGrantRequest request && node.shield().isPresent()) {
            node.leaseHolder().onGrant(from, request, callback);
        } else if (message instanceof LeaseRevokeRequest request
                && node.shield().isPresent()) {
            node.leaseHolder().onRevoke(from, request, callback);
        } else if (message instanceof FenceAckRequest request && node.shield().isPresent()) {
            node.leaseHolder().onFenceAck(request, callback);
        } else if (message instanceof ForwardRequest request && node.shield().isPresent()) {
            node.shield().get().shield().handle(from, request, callback);
        } else if (message instanceof CancelRequest request && node.shield().isPresent()) {
            node.shield().get().shield().cancel(from, request);
            callback.accept(new AckResponse());
        } else if (message instanceof AttemptGrantRequest request
                && node.edgeComponents().isPresent()) {
            callback.accept(new AttemptGrantResponse(node.edge().grantAttempts(from, request.serial())));
        } else if (message instanceof OpenForwardsRequest request
                && node.edgeComponents().isPresent()) {
            callback.accept(new OpenForwardsResponse(node.edge().openForwards(request)));
        } else if (message instanceof LoadReport request && node.dispatcher().isPresent()) {
            node.dispatcher().get().onLoadReport(from, request);
            callback.accept(new AckResponse());
        } else if (message instanceof VotersRequest) {
            callback.accept(new VotersResponse(
                    node.settings().foundingVoters(),
                    node.votingConfiguration().chosenSet().orElse(null)));
        } else if (message instanceof StatusRequest request) {
            callback.accept(new StatusResponse(new StatusReport(node).describe(request.topic())));
        } else {
            callback.accept(
                    new RejectedResponse("not done here: " + message.getClass().getSimpleName()));
        }
    }
}
