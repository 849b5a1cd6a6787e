/**
 * The numbered events that a node records and logs. Numbers and meanings never change; docs/EVENTS.md lists the events.
 */
package org.rowanvalve.common.event;
