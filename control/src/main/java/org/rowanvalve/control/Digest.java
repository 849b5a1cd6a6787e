package org.rowanvalve.control;

import java.util.ArrayList;
import java.util.List;
import org.rowanvalve.common.Hash;
import org.rowanvalve.common.Item;
import org.rowanvalve.common.ItemId;

/** Sums over (item, version): one over all, one for each cell, so that two nodes find where they differ. */
public final class Digest {
    public static final int CELLS = 64;
    private final long[] sums = new long[CELLS];
    private long all;

    public static int cell(final ItemId id) {
        return (int) (Hash.mix(id.text()) & CELLS - 1);
    }

    public void swap(final Item old, final Item now) {
        final int c = cell(now.id());
        final long change =
                (old != null && old.ver().n() > 0 ? old.mix() : 0) ^ (now.ver().n() > 0 ? now.mix() : 0);
        sums[c] ^= change;
        all ^= change;
    }

    public long all() {
        return all;
    }

    public List<Long> sums() {
        final List<Long> list = new ArrayList<>();
        for (final long s : sums) {
            list.add(s);
        }
        return list;
    }

    /** The cells in which another's sums differ from these. */
    public List<Integer> apart(final List<Long> other) {
        final List<Integer> list = new ArrayList<>();
        for (int i = 0; i < CELLS; i++) {
            if (sums[i] != other.get(i)) {
                list.add(i);
            }
        }
        return list;
    }
}
