/**
 * Replicated records of keyed requests: which key was attempted or completed, under which token. A record counts once
 * a majority of the voters has synced it, and a new holder reads a majority before it executes a key, so a keyed
 * request runs at most once within its window, whatever single loss happens. Owns the rows of records on disk.
 *
 * <p>Depends on {@code control.consensus} and {@code control.voting}.
 */
package org.rowanvalve.control.record;
