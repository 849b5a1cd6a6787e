/**
 * Stable storage in one SQLite file, and none for nodes without a disk.
 */
package org.rowanvalve.server.storage;
