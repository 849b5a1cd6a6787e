/**
 * Edges: they take clients' requests, answer from their cache, and forward the rest to shields.
 */
package org.rowanvalve.data.edge;
