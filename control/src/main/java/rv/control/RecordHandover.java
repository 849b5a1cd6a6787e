package rv.control;

import java.util.Map;
import rv.base.Msg;

/** What a voter's records of keyed requests do at a change of the voting set. */
public interface RecordHandover {
    /** Whether records that were once kept here may be missing: such a memory is no source for others. */
    boolean lapse();

    /** One page of all records; the bars come with the first page. {@code after}: the last key of the page before, or null. */
    Msg.KeptAll give(String after);

    /** Takes a page of another voter into memory. */
    void merge(Msg.KeptAll page);

    /** All rows as they stand, to be saved in one transaction with the voter's own. */
    Map<String, byte[]> rows();

    /** The rows are synced: nothing is missing any more. */
    void joined();

    /** For voters that keep no records. */
    RecordHandover NONE = new RecordHandover() {
        @Override
        public boolean lapse() {
            return false;
        }

        @Override
        public Msg.KeptAll give(final String after) {
            return new Msg.KeptAll(true, java.util.List.of(), Map.of(), null);
        }

        @Override
        public void merge(final Msg.KeptAll page) {}

        @Override
        public Map<String, byte[]> rows() {
            return Map.of();
        }

        @Override
        public void joined() {}
    };
}
