package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonValue;

/** The result of checking an operator's update against a state of the update ledger. */
public enum UpdateVerdict {
    /** Every version of the update was accepted with this body or was superseded, so nothing is left to decide. */
    TAKEN("STANDS"),
    /** Some version is new, so the update can be accepted. */
    NEW("NEW"),
    /** Some version was accepted with another body. */
    CONFLICT("CONFLICT"),
    /** Some route names an unknown service. */
    INVALID_REFERENCE("UNFIT"),
    /**
     * The update would make the configuration exceed its size limit; only the node that checked the update knows this.
     */
    CONFIGURATION_FULL("FULL"),
    /** No majority has responded, so the update may or may not be accepted. */
    UNDECIDED("OPEN");

    private final String code;

    UpdateVerdict(final String code) {
        this.code = code;
    }

    /** Returns the name in messages, which never changes. */
    @JsonValue
    public String code() {
        return code;
    }
}
