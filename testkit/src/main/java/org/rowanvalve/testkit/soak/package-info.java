/**
 * Soak runs: real processes of a drawn network under clients that keep their connections, with series of signals,
 * restarts, partitions, losses and changes that overlap.
 *
 * <p>A {@link SoakPlan} says beforehand what happens when; {@link SoakRun} plays it and {@link SoakReport} tells what
 * was found. Depends on {@code common.model}, {@code control.json}, {@code testkit.fleet}, {@code testkit.judge},
 * {@code testkit.log}, {@code testkit.origin}, {@code testkit.scale} and {@code testkit.scenario}.
 */
package org.rowanvalve.testkit.soak;
