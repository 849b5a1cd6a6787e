package org.rowanvalve.control.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ObjLongConsumer;
import org.rowanvalve.common.message.HeartbeatResponse;
import org.rowanvalve.common.model.Member;

/**
 * A seed's member list as far as this node has received it; each answer brings what changed, and how long each member
 * has been silent.
 */
final class SeedMemberView {
    private final List<Member> coreMembers = new ArrayList<>();
    private final List<Member> edgeMembers = new ArrayList<>();
    private String listId = "";
    private long lastChange;

    /** Empty before the first answer. */
    String listId() {
        return listId;
    }

    long lastChange() {
        return lastChange;
    }

    /** {@code listener} hears every member that is not lost, with the longest that it may have been silent. */
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
        final Map<Integer, Integer> late = new HashMap<>();
        response.edgeSilences().forEach(change -> late.put(-1 - change.position(), change.units()));
        for (int i = 0; i < edgeMembers.size(); i++) {
            report(
                    edgeMembers.get(i),
                    late.getOrDefault(i, HeartbeatResponse.DEFAULT_EDGE_SILENCE_MS / HeartbeatResponse.SILENCE_UNIT_MS),
                    listener);
        }
    }

    private static void putAt(final List<Member> all, final int at, final Member member) {
        while (all.size() <= at) {
            all.add(null);
        }
        all.set(at, member);
    }

    private static void report(final Member member, final int units, final ObjLongConsumer<Member> listener) {
        if (member != null && units != HeartbeatResponse.LOST_UNITS) {
            listener.accept(member, (long) units * HeartbeatResponse.SILENCE_UNIT_MS);
        }
    }
}
