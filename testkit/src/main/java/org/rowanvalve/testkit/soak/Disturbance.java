package org.rowanvalve.testkit.soak;

import java.util.List;

/**
 * One disturbance of a soak run.
 *
 * @param atMs milliseconds since its round began
 * @param targets names of the machines or origins to which it happens; empty where it happens to all or to none
 * @param durationMs how long it lasts; of a process that ends, how long it stays away
 * @param size how many changes it makes, where it makes changes
 */
public record Disturbance(DisturbanceKind kind, long atMs, List<String> targets, long durationMs, int size) {}
