/**
 * Requests to origins: the choice of an origin, queueing, rate limits, load reports, retries and the check of responses.
 * Every request leaves a node through {@code OriginDispatcher}; the right to send is checked at the last moment.
 */
package org.rowanvalve.data.origin;
