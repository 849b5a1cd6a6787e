package rv.control;

public record Service(String kind, double rate, int bodyLimit, long cutoffMs) {
    public static final String CONTENT = "content";
    public static final String BOOKING = "booking";

    public boolean content() {
        return CONTENT.equals(kind);
    }
}
