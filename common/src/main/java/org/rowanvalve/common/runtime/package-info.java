/**
 * The seams between a node and its surroundings: the event loop that is its only thread and clock, the transport to
 * other nodes, and stable storage. Programs implement them over the operating system, the test kit on virtual time.
 */
package org.rowanvalve.common.runtime;
