/**
 * The options of a process: flags, file, checks, and what of a change holds without a new start.
 */
package org.rowanvalve.server.options;
