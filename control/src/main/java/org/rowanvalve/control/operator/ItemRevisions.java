package org.rowanvalve.control.operator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The revisions of items in one request, by item name, in the form that {@link ConfigurationUpdate} reads: a single
 * body or version, or a list of them if the request contains several revisions of an item. Equal revisions are kept
 * once.
 */
public final class ItemRevisions {
    private final Map<String, List<Object>> revisionsByName = new LinkedHashMap<>();

    /** {@code revision}: the members of an item that is set, or the version under which the item is deleted. */
    public void add(final String name, final Object revision) {
        final List<Object> revisions = revisionsByName.computeIfAbsent(name, key -> new ArrayList<>());
        if (!revisions.contains(revision)) {
            revisions.add(revision);
        }
    }

    /** The members of a section of an update, by item name. */
    public Map<String, Object> members() {
        final Map<String, Object> members = new LinkedHashMap<>();
        revisionsByName.forEach(
                (name, revisions) -> members.put(name, revisions.size() == 1 ? revisions.get(0) : revisions));
        return members;
    }
}
