/**
 * Identifiers and values that every other package shares: nodes, replicated items and their versions, ballots, fencing
 * tokens, lease times. Immutable; depends on nothing of the project.
 */
package org.rowanvalve.common.model;
