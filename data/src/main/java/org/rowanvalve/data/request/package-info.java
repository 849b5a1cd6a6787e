/**
 * Client requests and their responses.
 *
 * <p>Depends on {@code control.json} and {@code data.origin}.
 */
package org.rowanvalve.data.request;
