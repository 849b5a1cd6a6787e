/**
 * The programs: start, composition, reload and stop of one process.
 */
package org.rowanvalve.server.process;
