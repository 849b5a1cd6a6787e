/**
 * One node put together from the parts that its role has, and its life: start, status, reload, freeze, shutdown.
 */
package org.rowanvalve.data.node;
