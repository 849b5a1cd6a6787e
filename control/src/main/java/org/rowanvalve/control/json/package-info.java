/**
 * Reads and writes the JSON bodies of items, and reads operators' input, for which every error is reported with its
 * path.
 */
package org.rowanvalve.control.json;
