package rv.data;

import rv.base.DiskTrouble;
import rv.base.Journal;
import rv.base.Loop;
import rv.base.NodeId;
import rv.control.ConfigView;
import rv.control.Electorate;
import rv.control.ItemStore;
import rv.control.KeyRecordStore;
import rv.control.Membership;
import rv.control.MonitoredDisk;
import rv.control.RecordRetention;
import rv.control.ViewServer;
import rv.control.Voter;
import rv.control.WriteRecovery;
import rv.control.Writer;

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
