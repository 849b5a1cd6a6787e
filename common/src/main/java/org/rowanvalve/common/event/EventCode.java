package org.rowanvalve.common.event;

/** The numbered events. docs/EVENTS.md lists each event; a test checks that both agree. */
public enum EventCode {
    STARTED(1001, "process started"),
    READY(1002, "process ready"),
    STOPPING(1003, "orderly stop begun"),
    STOPPED(1004, "process stopped"),
    BAD_OPTIONS(1005, "options rejected"),
    RELOADED(1006, "changed options in force"),
    RELOAD_REJECTED(1007, "changed options rejected, the earlier ones hold"),
    RELOAD_NEEDS_START(1008, "changed options need a new start"),
    LINES_LEFT_OUT(1009, "lines on requests left out of the log"),
    CIRCUIT_CLOSED(1101, "malformed frame, connection closed"),
    RING_FULL(1102, "queue full, task rejected"),
    MEMBER_SEEN(1201, "member alive"),
    MEMBER_LOST(1202, "member failed"),
    DRIFT_HIGH(1203, "clock skew beyond the margin"),
    WOKE(1204, "resumed from a freeze, leases dropped"),
    FOUNDED(1301, "acceptor founded a new state"),
    AMNESIA(1302, "acceptor lost its state, not voting"),
    REBUILT(1303, "acceptor state rebuilt"),
    ACCEPTED(1304, "item write accepted"),
    CLASHED(1305, "item write conflicted"),
    LEARNED(1306, "item in force"),
    DISK_SLOW(1307, "storage failure, vote withheld"),
    STORE_SILENT(1308, "store unavailable, accepted without it"),
    STORE_HEARD(1309, "store available again"),
    RESUMED(1310, "only state left, acceptors resume from it"),
    SWEPT(1311, "old items garbage collected"),
    SHORTAGE(1312, "too few voters for the tolerated losses"),
    RECOVERING(1313, "accepted values not yet known as chosen"),
    REBUILDING(1315, "acceptor state still being rebuilt"),
    RECOVERED(1314, "accepted values of the start known as chosen"),
    UPDATE_REFUSED(1316, "update refused"),
    VOTERS_SET(1320, "voting set changed"),
    VOTER_JOINED(1321, "voter has read the previous set, voting"),
    VOTERS_PROPOSED(1322, "change of the voting set proposed"),
    VOTERS_WRITTEN(1323, "change of the voting set completed"),
    STANDBY_LATE(1324, "standby not ready to vote"),
    VOTE_HANDED(1325, "draining voter replaced"),
    VOTE_KEPT(1326, "draining voter ends without being replaced"),
    TENURE_WON(1401, "leadership acquired"),
    TENURE_LOST(1402, "leadership lost"),
    PLAN_SET(1403, "placement plan written"),
    GRANTED(1404, "lease granted"),
    HELD(1501, "lease held"),
    UNSURE(1502, "lease uncertain"),
    FENCED(1503, "lease fenced"),
    GRANT_REJECTED(1505, "grant with a low token rejected"),
    FRAME_STALE(1601, "view not confirmed in time"),
    FRAME_FRESH(1602, "view confirmed again"),
    TOKEN_LOW(1603, "response with a low token rejected"),
    VIEW_WAITING(1604, "view still not confirmed"),
    SHIELD_BEHIND(1605, "shield does not know the route's version yet"),
    REQUEST_ENDED(1606, "at-most-once request answered"),
    ORIGIN_STRANGE(1701, "origin identity mismatch, connection dropped"),
    ORIGIN_BAD(1702, "origin response rejected"),
    ORIGIN_SEND(1703, "request sent to origin"),
    KEEP_SHORT(1704, "record replicas short of a majority"),
    ORIGIN_SEEN(1705, "origin announced"),
    ORIGIN_LEFT(1706, "origin draining"),
    RECORDS_COPIED(1707, "keyed records copied from other replicas"),
    RECORDS_BAD(1708, "page of keyed records with a wrong checksum, requested again"),
    INTENT_WRITTEN(1709, "write of an intent ended"),
    ORIGIN_ENDED(1710, "exchange of an at-most-once request ended"),
    KEYED_ENDED(1711, "attempt of a keyed request ended"),
    KEY_REPEATED(1712, "key requested again"),
    WORK_BROKEN_OFF(1713, "work at an origin broken off"),
    CLIENT_LEFT(1801, "client left before its response"),
    WORK_ENDED(1802, "work ended after its client had left"),
    CANCELLED(1803, "work on a request cancelled"),
    CONNECTION_ENDED(1804, "client connection ended by this node");

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
