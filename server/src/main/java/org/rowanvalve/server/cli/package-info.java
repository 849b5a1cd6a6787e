/**
 * The operators' command line, {@code rwctl}.
 *
 * <p>Depends on {@code control.json} and {@code server.process}.
 */
package org.rowanvalve.server.cli;
