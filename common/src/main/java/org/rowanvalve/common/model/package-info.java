/**
 * Identifiers and values that all other packages share: nodes, replicated items and their versions, ballots, fencing
 * tokens, lease timings. All types are immutable and depend on no other package of the project.
 */
package org.rowanvalve.common.model;
