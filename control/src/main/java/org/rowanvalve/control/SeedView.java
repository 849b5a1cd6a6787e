package org.rowanvalve.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ObjLongConsumer;
import org.rowanvalve.common.Member;
import org.rowanvalve.common.Msg;

/** A seed's member list as far as it has been told here; an answer brings what changed, and how long each is silent. */
final class SeedView {
    private final List<Member> near = new ArrayList<>();
    private final List<Member> edges = new ArrayList<>();
    private String list = "";
    private long last;

    /** Empty before the first answer. */
    String list() {
        return list;
    }

    long last() {
        return last;
    }

    /** {@code each} hears every member that is not lost, with the longest that it may have been silent. */
    void take(final Msg.Beaten b, final ObjLongConsumer<Member> each) {
        if (!b.list().equals(list)) {
            near.clear();
            edges.clear();
            list = b.list();
            last = 0;
        }
        last = Math.max(last, b.last());
        b.changed().forEach(l -> put(l.at() < 0 ? edges : near, l.at() < 0 ? -1 - l.at() : l.at(), l.member()));
        for (int i = 0; i < Math.min(near.size(), b.silences().length); i++) {
            tell(near.get(i), b.silences()[i] & 0xff, each);
        }
        final Map<Integer, Integer> late = new HashMap<>();
        b.late().forEach(l -> late.put(-1 - l.at(), l.units()));
        for (int i = 0; i < edges.size(); i++) {
            tell(edges.get(i), late.getOrDefault(i, Msg.Beaten.CALM / Msg.Beaten.UNIT), each);
        }
    }

    private static void put(final List<Member> all, final int at, final Member m) {
        while (all.size() <= at) {
            all.add(null);
        }
        all.set(at, m);
    }

    private static void tell(final Member m, final int units, final ObjLongConsumer<Member> each) {
        if (m != null && units != Msg.Beaten.LOST) {
            each.accept(m, (long) units * Msg.Beaten.UNIT);
        }
    }
}
