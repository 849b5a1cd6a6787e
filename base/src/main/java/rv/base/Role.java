package rv.base;

import java.util.Locale;

public enum Role {
    STORE,
    SHIELD,
    EDGE;

    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
