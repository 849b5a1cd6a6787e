/**
 * Keeps the voting set at its wanted size: replaces voters that are silent or shut down by standbys, one at a time.
 * Runs on the acting leader only.
 */
package org.rowanvalve.control.reconfiguration;
