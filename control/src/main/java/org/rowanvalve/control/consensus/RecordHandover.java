package org.rowanvalve.control.consensus;

import java.util.List;
import java.util.Map;
import org.rowanvalve.common.message.RecordHandoverResponse;
import org.rowanvalve.common.message.RecordPageResponse;

/** Operations on a voter's records of keyed requests for rebuilding its state and for a change of the voting set. */
public interface RecordHandover {
    /** Whether records that were once stored here may be missing. Such a replica is no source for other replicas. */
    boolean isIncomplete();

    /**
     * Marks the records as incomplete, when the voter's lost state is rebuilt. Returns rows that must be saved in one
     * transaction with that state.
     */
    Map<String, byte[]> markIncomplete();

    /** The checksum over the records of each bucket. */
    List<Long> checksums();

    /**
     * Returns a page of the records in the buckets whose checksums differ, with all token floors. {@code afterKey}: the
     * last key of the previous page, or null for the first page.
     */
    RecordHandoverResponse page(List<Long> otherChecksums, String afterKey);

    /** Merges a page of another voter. Returns false, and merges nothing, if the checksum of the page is wrong. */
    boolean mergePage(RecordHandoverResponse page);

    /**
     * Returns rows that must be saved in one transaction with the voter's own rows. All merged records have been
     * submitted to the disk before.
     */
    Map<String, byte[]> handoverRows();

    /**
     * Called when these rows are synced. From now on no records are missing, and no holder has read them in the new
     * epoch yet.
     */
    void onJoined();

    /** Used by voters that store no records. */
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
        public RecordHandoverResponse page(final List<Long> otherChecksums, final String afterKey) {
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
