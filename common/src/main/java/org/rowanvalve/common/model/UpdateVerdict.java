package org.rowanvalve.common.model;

import com.fasterxml.jackson.annotation.JsonValue;

/** What an operator's update comes to before a state of the update ledger. */
public enum UpdateVerdict {
    /** Every version of the update was taken with this body, or was overtaken: nothing is left to decide. */
    TAKEN("STANDS"),
    /** Some version is new: the update can be taken. */
    NEW("NEW"),
    /** Some version was taken with another body. */
    CONFLICT("CONFLICT"),
    /** Some route names a service that is not known. */
    INVALID_REFERENCE("UNFIT"),
    /** With it the configuration would be larger than it may be; known only to the node that judged. */
    CONFIGURATION_FULL("FULL"),
    /** No majority has answered: the update may be taken or not. */
    UNDECIDED("OPEN");

    private final String code;

    UpdateVerdict(final String code) {
        this.code = code;
    }

    /** The name between processes; it never changes. */
    @JsonValue
    public String code() {
        return code;
    }
}
