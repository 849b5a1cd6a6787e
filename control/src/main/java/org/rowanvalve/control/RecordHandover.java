package org.rowanvalve.control;

import java.util.List;
import java.util.Map;
import org.rowanvalve.common.Msg;

/** What a voter's records of keyed requests do when its memory is rebuilt, and at a change of the voting set. */
public interface RecordHandover {
    /** Whether records that were once kept here may be missing: such a memory is no source for others. */
    boolean lapse();

    /** The voter's memory was lost and is rebuilt: rows to be saved in one transaction with it. */
    Map<String, byte[]> forgotten();

    /** Sums over the records of each cell. */
    List<Long> sums();

    /** A page of the records in whose cells the sums differ, with all bars. {@code after}: the last key before it, or null. */
    Msg.HandedRecords give(List<Long> theirs, String after);

    /** Takes a page of another voter; false where its sum is wrong and nothing was taken. */
    boolean merge(Msg.HandedRecords page);

    /** What has to be saved in one transaction with the voter's own rows; all that was merged is on its way to the disk. */
    Map<String, byte[]> rows();

    /** The rows are synced: nothing is missing any more, and nobody has read here in the new epoch. */
    void joined();

    /** For voters that keep no records. */
    RecordHandover NONE = new RecordHandover() {
        @Override
        public boolean lapse() {
            return false;
        }

        @Override
        public Map<String, byte[]> forgotten() {
            return Map.of();
        }

        @Override
        public List<Long> sums() {
            return List.of();
        }

        @Override
        public Msg.HandedRecords give(final List<Long> theirs, final String after) {
            return new Msg.HandedRecords(Map.of(), new Msg.KeptCells(true, List.of(), 0, null));
        }

        @Override
        public boolean merge(final Msg.HandedRecords page) {
            return true;
        }

        @Override
        public Map<String, byte[]> rows() {
            return Map.of();
        }

        @Override
        public void joined() {}
    };
}
