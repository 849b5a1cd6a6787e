package org.rowanvalve.control.json;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.rowanvalve.common.model.ValidationError;

/** Values by their names, each of which may be stated once: of two, one would be dropped without a word. */
public final class NamedValues {
    private final String path;
    private final List<ValidationError> errors;
    private final Map<String, Object> values = new LinkedHashMap<>();

    /** {@code path}: where the values stand; {@code errors} gets an error for each name that is stated again. */
    public NamedValues(final String path, final List<ValidationError> errors) {
        this.path = path;
        this.errors = errors;
    }

    public void put(final String name, final Object value) {
        if (values.put(name, value) != null) {
            errors.add(new ValidationError(path + "/" + name, "stated twice"));
        }
    }

    public Map<String, Object> all() {
        return Collections.unmodifiableMap(values);
    }
}
