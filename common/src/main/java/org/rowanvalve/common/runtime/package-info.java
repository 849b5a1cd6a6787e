/**
 * The interfaces between a node and its environment: the event loop, which is the node's only thread and clock, the
 * transport to other nodes, and stable storage. The programs implement them with the operating system, the test kit
 * with virtual time.
 */
package org.rowanvalve.common.runtime;
