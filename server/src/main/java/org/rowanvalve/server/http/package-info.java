/**
 * The HTTP interfaces of a process: the control interface and the client interface of an edge.
 *
 * <p>Depends on {@code control.config}, {@code control.json}, {@code control.operator}, {@code data.edge}, {@code
 * data.node}, {@code data.request} and {@code server.thread}.
 */
package org.rowanvalve.server.http;
