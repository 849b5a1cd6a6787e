package org.rowanvalve.control.consensus;

import java.util.List;
import java.util.Map;
import org.rowanvalve.common.message.RecordHandoverResponse;
import org.rowanvalve.common.message.RecordPageResponse;

/** What a voter's records of keyed requests do when its state is rebuilt, and at a change of the voting set. */
public interface RecordHandover {
    /** Whether records may be missing that were once stored here: such a replica is no source for others. */
    boolean isIncomplete();

    /** Called when the voter's state was lost and is rebuilt: gives rows to be saved in one transaction with it. */
    Map<String, byte[]> markIncomplete();

    /** Checksums over the records of each bucket. */
    List<Long> checksums();

    /**
     * A page of the records in whose buckets the checksums differ, with all token floors. {@code after}: the last key
     * before it, or null.
     */
    RecordHandoverResponse page(List<Long> theirs, String after);

    /** Takes a page of another voter; false where its checksum is wrong and nothing was taken. */
    boolean mergePage(RecordHandoverResponse page);

    /** What has to be saved in one transaction with the voter's own rows; all that was merged is on its way to the disk. */
    Map<String, byte[]> handoverRows();

    /** Called when the rows are synced: nothing is missing any more, and nobody has read here in the new epoch. */
    void onJoined();

    /** For voters that keep no records. */
    RecordHandover NONE = new RecordHandover() {
        @Override
        public boolean isIncomplete() {
            return false;
        }

        @Override
        public Map<String, byte[]> markIncomplete() {
            return Map.of();
        }

        @Override
        public List<Long> checksums() {
            return List.of();
        }

        @Override
        public RecordHandoverResponse page(final List<Long> theirs, final String after) {
            return new RecordHandoverResponse(Map.of(), new RecordPageResponse(true, List.of(), 0, null));
        }

        @Override
        public boolean mergePage(final RecordHandoverResponse page) {
            return true;
        }

        @Override
        public Map<String, byte[]> handoverRows() {
            return Map.of();
        }

        @Override
        public void onJoined() {}
    };
}
