package org.rowanvalve.common.event;

/** The numbered events; docs/EVENTS.md lists each and a test keeps the two alike. */
public enum EventCode {
    STARTED(1001, "process started"),
    READY(1002, "process ready"),
    STOPPING(1003, "orderly stop begun"),
    STOPPED(1004, "process stopped"),
    BAD_OPTIONS(1005, "options rejected"),
    RELOADED(1006, "changed options in force"),
    RELOAD_REJECTED(1007, "changed options rejected, the earlier ones hold"),
    RELOAD_NEEDS_START(1008, "changed options need a new start"),
    CIRCUIT_CLOSED(1101, "bad frame, circuit closed"),
    RING_FULL(1102, "ring full, job shed"),
    MEMBER_SEEN(1201, "member seen"),
    MEMBER_LOST(1202, "member lost"),
    DRIFT_HIGH(1203, "clock drift beyond the margin"),
    WOKE(1204, "woke from a freeze, rights dropped"),
    FOUNDED(1301, "elector founded a new memory"),
    AMNESIA(1302, "elector has no memory, not voting"),
    REBUILT(1303, "elector memory rebuilt"),
    ACCEPTED(1304, "item write accepted"),
    CLASHED(1305, "item write lost a race"),
    LEARNED(1306, "item in force"),
    DISK_SLOW(1307, "disk trouble, vote withheld"),
    STORE_SILENT(1308, "store silent, accepted without it"),
    STORE_HEARD(1309, "silent store heard again"),
    RESUMED(1310, "only memory left, electors resume from it"),
    SWEPT(1311, "old items dropped"),
    SHORTAGE(1312, "too few electors for the wanted losses"),
    VOTERS_SET(1320, "voting set changed"),
    VOTER_JOINED(1321, "voter has read the earlier set, voting"),
    VOTERS_PROPOSED(1322, "change of the voting set proposed"),
    VOTERS_WRITTEN(1323, "change of the voting set ended"),
    STANDBY_LATE(1324, "standby not ready to vote"),
    VOTE_HANDED(1325, "leaving voter is replaced"),
    VOTE_KEPT(1326, "leaving voter ends without being replaced"),
    TENURE_WON(1401, "tenure taken"),
    TENURE_LOST(1402, "tenure ended"),
    PLAN_SET(1403, "plan written"),
    GRANTED(1404, "lease granted"),
    HELD(1501, "lease held"),
    UNSURE(1502, "lease uncertain"),
    FENCED(1503, "lease fenced"),
    GRANT_REJECTED(1505, "grant with a low token rejected"),
    FRAME_STALE(1601, "frame not confirmed in time"),
    FRAME_FRESH(1602, "frame confirmed again"),
    TOKEN_LOW(1603, "answer with a low token rejected"),
    ORIGIN_STRANGE(1701, "origin identity mismatch, circuit dropped"),
    ORIGIN_BAD(1702, "origin answer rejected"),
    ORIGIN_SEND(1703, "request sent to origin"),
    KEEP_SHORT(1704, "keepers short of a majority"),
    ORIGIN_SEEN(1705, "origin announced"),
    ORIGIN_LEFT(1706, "origin leaving"),
    RECORDS_COPIED(1707, "keyed records copied from other keepers"),
    RECORDS_BAD(1708, "page of keyed records with a wrong sum, asked again");

    private final int number;
    private final String description;

    EventCode(final int number, final String description) {
        this.number = number;
        this.description = description;
    }

    public String id() {
        return "RV" + number;
    }

    public String description() {
        return description;
    }
}
