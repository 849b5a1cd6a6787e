package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.rowanvalve.common.model.Member;

/**
 * One change of a member list. {@code position}: the member's place in it, for good, below zero for edges; without a
 * member, the one at this place is gone.
 */
public record MembershipChange(@JsonProperty("at") int position, Member member) {}
