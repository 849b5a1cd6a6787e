/**
 * The HTTP interfaces of a process: the control interface and the client interface of an edge, which hears of clients that
 * leave while their request is handled.
 *
 * <p>Depends on {@code control.config}, {@code control.json}, {@code control.operator}, {@code data.cancel}, {@code
 * data.edge}, {@code data.node}, {@code data.request} and {@code server.thread}.
 */
package org.rowanvalve.server.http;
