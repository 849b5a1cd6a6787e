package org.rowanvalve.control;

/**
 * {@code rate}: requests a second for each origin; {@code ceiling}: for all of them together, 0 where there is none;
 * {@code circuits}: connections that an origin takes from all callers; {@code note}: the operator's own words.
 */
public record Service(
        String kind, double rate, int bodyLimit, long cutoffMs, double ceiling, int circuits, String note) {
    public static final String CONTENT = "content";
    public static final String BOOKING = "booking";
    public static final String OPEN = "open";

    public Service {
        note = note == null ? "" : note;
    }

    public boolean content() {
        return CONTENT.equals(kind);
    }
}
