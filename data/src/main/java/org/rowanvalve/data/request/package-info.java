/**
 * Requests of clients and the responses to them.
 */
package org.rowanvalve.data.request;
