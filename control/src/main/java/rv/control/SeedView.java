package rv.control;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ObjLongConsumer;
import rv.base.Member;
import rv.base.Msg;

/** A seed's member list as far as it has been told here; an answer brings what changed, and how long each is silent. */
final class SeedView {
    private final List<Member> members = new ArrayList<>();
    private String list = "";
    private long last;

    /** Empty before the first answer. */
    String list() {
        return list;
    }

    long last() {
        return last;
    }

    /** {@code each} hears every member that is not lost, with its silence. */
    void take(final Msg.Beaten b, final ObjLongConsumer<Member> each) {
        if (!b.list().equals(list)) {
            members.clear();
            list = b.list();
            last = 0;
        }
        last = Math.max(last, b.last());
        for (final Msg.Listed l : b.changed()) {
            while (members.size() <= l.at()) {
                members.add(null);
            }
            members.set(l.at(), l.member());
        }
        for (int i = 0; i < Math.min(members.size(), b.silences().length); i++) {
            final int units = b.silences()[i] & 0xff;
            if (members.get(i) != null && units != Msg.Beaten.LOST) {
                each.accept(members.get(i), (long) units * Msg.Beaten.UNIT);
            }
        }
    }
}
