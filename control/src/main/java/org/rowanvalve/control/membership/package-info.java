/**
 * Heartbeats and failure detection: who is there, for how long each has been silent, and whether clocks run at the same
 * pace.
 */
package org.rowanvalve.control.membership;
