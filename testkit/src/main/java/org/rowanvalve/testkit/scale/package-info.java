/**
 * Scale runs: many nodes without traffic in one process, and what each size costs.
 *
 * <p>Depends on {@code control.config}, {@code control.json}, {@code control.voting}, {@code data.node}, {@code
 * data.settings}, {@code server.net}, {@code server.storage}, {@code server.thread} and {@code testkit.fleet}.
 */
package org.rowanvalve.testkit.scale;
