/**
 * Stand-in origins over HTTP.
 */
package org.rowanvalve.testkit.origin;
