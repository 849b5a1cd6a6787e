/**
 * The operators' command line, {@code rwctl}.
 */
package org.rowanvalve.server.cli;
