package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;

public record EdgeSilence(@JsonProperty("at") int position, int units) {}
