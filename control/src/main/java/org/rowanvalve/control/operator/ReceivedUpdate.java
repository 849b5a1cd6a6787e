package org.rowanvalve.control.operator;

import java.util.ArrayList;
import java.util.List;
import org.rowanvalve.common.model.ValidationError;

/**
 * An operator's call as it was read: reading depends on nothing but the text, so a large call is read outside of the
 * event loop. {@code encodedBytes}: the size of its items in the ledger, or at least that of the text.
 */
public record ReceivedUpdate(ConfigurationUpdate update, byte[] data, int encodedBytes, List<ValidationError> errors) {
    /**
     * May be called in any thread. A text that is itself larger than any update may be is not read: its items take up more
     * than the text.
     */
    public static ReceivedUpdate read(final byte[] data) {
        if (data.length > UpdateLimits.MAX_UPDATE_BYTES) {
            return new ReceivedUpdate(null, data, data.length, List.of());
        }
        final List<ValidationError> errors = new ArrayList<>();
        final ConfigurationUpdate update = ConfigurationUpdate.read(data, errors);
        return new ReceivedUpdate(update, data, errors.isEmpty() ? update.encodedBytes() : 0, errors);
    }

    /** A call with errors, of which nothing is taken. */
    public static ReceivedUpdate invalid(final List<ValidationError> errors) {
        return new ReceivedUpdate(null, new byte[0], 0, errors);
    }
}
