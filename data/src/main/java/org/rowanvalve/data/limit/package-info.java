/**
 * Rate limiting, the retry budget, and how many attempts one request may still make.
 */
package org.rowanvalve.data.limit;
