/**
 * Rate limiting, retry budgets, and the number of attempts that one request may still make.
 */
package org.rowanvalve.data.limit;
