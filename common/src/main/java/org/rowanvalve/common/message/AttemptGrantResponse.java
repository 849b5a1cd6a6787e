package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonTypeName;

/** {@code count}: how many more origins may get it; they are reserved for the one that asked. */
@JsonTypeName("AttemptsGranted")
public record AttemptGrantResponse(int count) implements Message {}
