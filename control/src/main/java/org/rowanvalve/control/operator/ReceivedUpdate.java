package org.rowanvalve.control.operator;

import java.util.ArrayList;
import java.util.List;
import org.rowanvalve.common.model.ValidationError;

/**
 * An operator's update as read from the request. Reading depends on nothing but the text, so large updates are read
 * outside the event loop. {@code encodedBytes}: the size of its items in the ledger, in bytes, or the size of the text
 * if the text was too large to be read.
 */
public record ReceivedUpdate(ConfigurationUpdate update, byte[] data, int encodedBytes, List<ValidationError> errors) {
    /**
     * May be called from any thread. A text larger than {@link UpdateLimits#MAX_UPDATE_BYTES} is not read, since its
     * items take up more space than the text.
     */
    public static ReceivedUpdate read(final byte[] data) {
        if (data.length > UpdateLimits.MAX_UPDATE_BYTES) {
            return new ReceivedUpdate(null, data, data.length, List.of());
        }
        final List<ValidationError> errors = new ArrayList<>();
        final ConfigurationUpdate update = ConfigurationUpdate.read(data, errors);
        return new ReceivedUpdate(update, data, errors.isEmpty() ? update.encodedBytes() : 0, errors);
    }

    /** An update with errors, which is not applied. */
    public static ReceivedUpdate invalid(final List<ValidationError> errors) {
        return new ReceivedUpdate(null, new byte[0], 0, errors);
    }
}
