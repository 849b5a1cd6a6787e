/**
 * The HTTP addresses of a process: the control interface and the clients' side of an edge.
 */
package org.rowanvalve.server.http;
