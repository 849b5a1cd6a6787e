/**
 * The settings of one node, fixed and reloadable.
 */
package org.rowanvalve.data.settings;
