package org.rowanvalve.control.consensus;

import org.rowanvalve.common.event.EventJournal;
import org.rowanvalve.common.model.NodeId;
import org.rowanvalve.common.runtime.EventLoop;
import org.rowanvalve.common.runtime.Transport;
import org.rowanvalve.control.voting.VotingConfiguration;

/** The context that all components of a voter share; {@code incarnation} identifies this run of its process. */
record VoterContext(
        NodeId self,
        String incarnation,
        VotingConfiguration votingConfiguration,
        EventLoop loop,
        Transport transport,
        EventJournal journal) {}
