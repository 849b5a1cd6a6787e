package rv.control;

public record Purge(String route, String path, String prefix) {
    public boolean touches(final String name, final String to) {
        return route.equals(name) && (path != null ? to.equals(path) : to.startsWith(prefix));
    }
}
