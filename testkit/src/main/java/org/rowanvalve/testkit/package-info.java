/**
 * The test kit's command line.
 */
package org.rowanvalve.testkit;
