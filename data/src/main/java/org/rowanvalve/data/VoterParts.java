package org.rowanvalve.data;

import org.rowanvalve.common.DiskTrouble;
import org.rowanvalve.common.Journal;
import org.rowanvalve.common.Loop;
import org.rowanvalve.common.NodeId;
import org.rowanvalve.control.ConfigView;
import org.rowanvalve.control.Electorate;
import org.rowanvalve.control.ItemStore;
import org.rowanvalve.control.KeyRecordStore;
import org.rowanvalve.control.Membership;
import org.rowanvalve.control.MonitoredDisk;
import org.rowanvalve.control.RecordRetention;
import org.rowanvalve.control.ViewServer;
import org.rowanvalve.control.Voter;
import org.rowanvalve.control.WriteRecovery;
import org.rowanvalve.control.Writer;

/** What a node has that votes or may be called to: the voter, its records of keyed requests, and what they need. */
final class VoterParts {
    private static final long SWEEP = 1000;
    private final Loop loop;
    private final ItemStore items;
    private final Voter voter;
    private final KeyRecordStore records;
    private final WriteRecovery recovery;
    private final ViewServer desk;

    VoterParts(
            final Setup setup,
            final Node.Seams seams,
            final Electorate electorate,
            final ItemStore items,
            final ConfigView view,
            final Membership members,
            final Writer writer,
            final Journal journal) {
        loop = seams.loop();
        this.items = items;
        final NodeId self = setup.self().id();
        final String boot = setup.self().boot();
        final MonitoredDisk disk = new MonitoredDisk(seams.disk(), loop);
        voter = new Voter(
                self, electorate, loop, seams.net(), disk, journal, boot, setup.first(), () -> !members.told());
        records = new KeyRecordStore(
                self,
                boot,
                electorate,
                seams.net(),
                loop,
                seams.wall(),
                disk,
                journal,
                new RecordRetention(setup.keyWindowMs(), view::longestKeyed));
        recovery = new WriteRecovery(
                voter,
                items,
                writer,
                loop,
                seams.dice(),
                () -> electorate.voters().indexOf(self));
        desk = new ViewServer(voter, items, loop);
    }

    void start() throws DiskTrouble {
        voter.onWhole(() -> items.all().forEach(voter::learn));
        voter.prefill(items::all);
        voter.records(records);
        records.start();
        voter.start();
        recovery.start();
        loop.every(SWEEP, () -> voter.sweep(items.sweep()));
    }

    Voter voter() {
        return voter;
    }

    KeyRecordStore records() {
        return records;
    }

    ViewServer desk() {
        return desk;
    }
}
