/**
 * The numbered events that a node journals and logs. Numbers and meanings never change; docs/EVENTS.md lists them.
 */
package org.rowanvalve.common.event;
