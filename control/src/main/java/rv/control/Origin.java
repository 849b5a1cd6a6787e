package rv.control;

public record Origin(String service, String host, int port, String stamp, String kind, double load, long ttlMs, boolean leaving,
                     long beat) {
}
