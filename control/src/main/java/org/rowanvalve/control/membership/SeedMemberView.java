package org.rowanvalve.control.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ObjLongConsumer;
import org.rowanvalve.common.message.HeartbeatResponse;
import org.rowanvalve.common.model.Member;

/**
 * The member list of a seed as this node has received it. Each heartbeat response carries the changes of the list and
 * the time for which each member has been silent.
 */
final class SeedMemberView {
    private final List<Member> coreMembers = new ArrayList<>();
    private final List<Member> edgeMembers = new ArrayList<>();
    private String listId = "";
    private long lastChange;

    /** Returns the id of the seed's list, empty before the first response. */
    String listId() {
        return listId;
    }

    long lastChange() {
        return lastChange;
    }

    /**
     * Applies a response; {@code listener} gets each member that is not lost with an upper bound of its silence in ms.
     */
    void apply(final HeartbeatResponse response, final ObjLongConsumer<Member> listener) {
        if (!response.listId().equals(listId)) {
            coreMembers.clear();
            edgeMembers.clear();
            listId = response.listId();
            lastChange = 0;
        }
        lastChange = Math.max(lastChange, response.lastChange());
        response.changes()
                .forEach(change -> putAt(
                        change.position() < 0 ? edgeMembers : coreMembers,
                        change.position() < 0 ? -1 - change.position() : change.position(),
                        change.member()));
        for (int i = 0; i < Math.min(coreMembers.size(), response.silences().length); i++) {
            report(coreMembers.get(i), response.silences()[i] & 0xff, listener);
        }
        final Map<Integer, Integer> edgeSilences = new HashMap<>();
        response.edgeSilences().forEach(silence -> edgeSilences.put(-1 - silence.position(), silence.units()));
        for (int i = 0; i < edgeMembers.size(); i++) {
            report(
                    edgeMembers.get(i),
                    edgeSilences.getOrDefault(
                            i, HeartbeatResponse.DEFAULT_EDGE_SILENCE_MS / HeartbeatResponse.SILENCE_UNIT_MS),
                    listener);
        }
    }

    private static void putAt(final List<Member> members, final int index, final Member member) {
        while (members.size() <= index) {
            members.add(null);
        }
        members.set(index, member);
    }

    private static void report(final Member member, final int units, final ObjLongConsumer<Member> listener) {
        if (member != null && units != HeartbeatResponse.LOST_UNITS) {
            listener.accept(member, (long) units * HeartbeatResponse.SILENCE_UNIT_MS);
        }
    }
}
