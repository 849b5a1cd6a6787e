package org.rowanvalve.common.message;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.rowanvalve.common.model.Member;

/**
 * One change of a member list.
 *
 * @param position the permanent position of the member in the list; negative for edges
 * @param member the member at this position; null if it was removed
 */
public record MembershipChange(@JsonProperty("at") int position, Member member) {}
