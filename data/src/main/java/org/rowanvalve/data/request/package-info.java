/**
 * Requests of clients and the responses to them.
 *
 * <p>Depends on {@code control.json} and {@code data.origin}.
 */
package org.rowanvalve.data.request;
