/**
 * The log of a process.
 */
package org.rowanvalve.server.log;
