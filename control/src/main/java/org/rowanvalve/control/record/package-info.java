/**
 * Replicated records of keyed requests: which key was attempted or completed, and under which fencing token. A record
 * counts once a majority of the voters has synced it, and a new holder reads a majority before it executes a key. A
 * keyed request is therefore executed at most once within its window, despite any single loss. The package owns the
 * stored rows of these records.
 *
 * <p>Depends on {@code control.consensus} and {@code control.voting}.
 */
package org.rowanvalve.control.record;
