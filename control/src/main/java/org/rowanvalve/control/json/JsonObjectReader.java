package org.rowanvalve.control.json;

import java.math.BigDecimal;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.rowanvalve.common.model.ValidationError;

/**
 * Reads the members of one JSON object and reports members that are missing, of the wrong type, out of range or
 * unknown.
 */
public final class JsonObjectReader {
    private final Map<?, ?> members;
    private final String path;
    private final List<ValidationError> errors;
    private final Set<String> knownNames = new HashSet<>();

    public JsonObjectReader(final Object value, final String path, final List<ValidationError> errors) {
        this.path = path;
        this.errors = errors;
        if (value instanceof Map<?, ?> m) {
            members = m;
        } else {
            members = Map.of();
            addError("", "an object is wanted here");
        }
    }

    /** Adds an error for the member {@code name}, or for the object itself if {@code name} is empty. */
    public void addError(final String name, final String text) {
        errors.add(new ValidationError(name.isEmpty() ? path.isEmpty() ? "/" : path : path + "/" + name, text));
    }

    private Object member(final String name, final boolean required) {
        knownNames.add(name);
        final Object value = members.get(name);
        if (value == null && (required || members.containsKey(name))) {
            addError(name, members.containsKey(name) ? "must not be null" : "missing");
        }
        return value;
    }

    /** The text of a member; {@code fallback} if the member is missing or of another type. */
    public String text(final String name, final boolean required, final String fallback) {
        final Object value = member(name, required);
        if (value == null) {
            return fallback;
        }
        if (value instanceof String s) {
            return s;
        }
        addError(name, "a text is wanted here");
        return fallback;
    }

    /** The text of a required member, which must not be empty. */
    public String nonEmptyText(final String name) {
        final String text = text(name, true, "");
        if ("".equals(members.get(name))) {
            addError(name, "must not be empty");
        }
        return text;
    }

    public String oneOf(final String name, final Set<String> allowed) {
        final String text = text(name, true, "");
        if (!text.isEmpty() && !allowed.contains(text)) {
            addError(name, "must be one of " + allowed.stream().sorted().toList());
        }
        return text;
    }

    public boolean booleanValue(final String name, final boolean fallback) {
        final Object value = member(name, false);
        if (value == null || value instanceof Boolean) {
            return value == null ? fallback : (Boolean) value;
        }
        addError(name, "true or false is wanted here");
        return fallback;
    }

    /**
     * The number of a member, from {@code min} to {@code max}; {@code fallback} if the member is missing or invalid.
     */
    public BigDecimal number(
            final String name, final boolean required, final long fallback, final long min, final long max) {
        final Object value = member(name, required);
        final BigDecimal base = BigDecimal.valueOf(fallback);
        if (value == null) {
            return base;
        }
        if (!(value instanceof BigDecimal number)) {
            addError(name, "a number is wanted here");
            return base;
        }
        if (number.compareTo(BigDecimal.valueOf(min)) < 0 || number.compareTo(BigDecimal.valueOf(max)) > 0) {
            addError(name, "must be from " + min + " to " + max);
            return base;
        }
        return number;
    }

    public long wholeNumber(
            final String name, final boolean required, final long fallback, final long min, final long max) {
        final BigDecimal number = number(name, required, fallback, min, max);
        if (number.stripTrailingZeros().scale() > 0) {
            addError(name, "a whole number is wanted here");
            return fallback;
        }
        return number.longValue();
    }

    public Map<?, ?> object(final String name) {
        final Object value = member(name, false);
        if (value == null) {
            return Map.of();
        }
        if (value instanceof Map<?, ?> m) {
            return m;
        }
        addError(name, "an object is wanted here");
        return Map.of();
    }

    public List<?> list(final String name) {
        final Object value = member(name, false);
        if (value == null || value instanceof List<?>) {
            return value == null ? List.of() : (List<?>) value;
        }
        addError(name, "a list is wanted here");
        return List.of();
    }

    /** The texts of a list member, which must be distinct. */
    public List<String> distinctTexts(final String name) {
        final List<String> texts = list(name).stream()
                .filter(String.class::isInstance)
                .map(String.class::cast)
                .distinct()
                .toList();
        if (texts.size() < list(name).size()) {
            addError(name, "texts are wanted here, each of them once");
        }
        return texts;
    }

    public String pathOf(final String name) {
        return path + "/" + name;
    }

    public List<ValidationError> errors() {
        return errors;
    }

    /** Marks a member that is read elsewhere as known. */
    public void markKnown(final String name) {
        knownNames.add(name);
    }

    /** Adds an error for each member that was neither read nor marked as known. */
    public void rejectUnknownMembers() {
        members.keySet().stream()
                .map(String::valueOf)
                .filter(name -> !knownNames.contains(name))
                .forEach(name -> addError(name, "unknown member"));
    }
}
