package rv.data;

public record Ask(String method, String path, String key, byte[] body, String type) {
}
