package rv.base;

public record Finding(String place, String text) {
    @Override
    public String toString() {
        return place + ": " + text;
    }
}
