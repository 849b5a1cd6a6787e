package org.rowanvalve.control.consensus;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;
import org.rowanvalve.common.message.Register;
import org.rowanvalve.common.model.ItemId;
import org.rowanvalve.control.store.ItemStore;

/**
 * The registers whose accepted value is not known as chosen at this node. The set is updated with each change of a
 * register or an item, so that a lookup does not scan all registers.
 */
public final class UnchosenValues {
    private final Acceptor acceptor;
    private final ItemStore items;
    private final SortedSet<ItemId> ids = new TreeSet<>();

    public UnchosenValues(final Acceptor acceptor, final ItemStore items) {
        this.acceptor = acceptor;
        this.items = items;
        acceptor.registers().keySet().forEach(this::update);
        acceptor.addRegisterListener(this::update);
        items.addListener(item -> update(item.id()));
    }

    /** A live view of the register ids, in their natural order. */
    public SortedSet<ItemId> ids() {
        return Collections.unmodifiableSortedSet(ids);
    }

    private void update(final ItemId id) {
        final Register register = acceptor.registers().get(id);
        if (register == null || items.knows(id, register.item().version())) {
            ids.remove(id);
        } else {
            ids.add(id);
        }
    }
}
