/**
 * The operators' and origins' interface to the replicated state: single items, whole updates under the operator's own
 * version numbers, purges, heartbeats of origins, garbage collection of what has been dropped.
 */
package org.rowanvalve.control.operator;
