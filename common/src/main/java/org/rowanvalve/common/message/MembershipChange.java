package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.rowanvalve.common.model.Member;

/** {@code position}: its place in the seed's list, for good, below zero for edges; without a member it is gone. */
public record MembershipChange(@JsonProperty("at") int position, Member member) {}
