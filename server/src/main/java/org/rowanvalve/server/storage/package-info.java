/**
 * Stable storage in one SQLite file, and none for nodes without a disk.
 *
 * <p>Depends on {@code server.thread}.
 */
package org.rowanvalve.server.storage;
