/**
 * JSON: bodies of items that the project wrote itself, and operators' input, of which every error is reported with its
 * path.
 */
package org.rowanvalve.control.json;
