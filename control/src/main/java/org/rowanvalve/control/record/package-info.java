/**
 * Replicated records of keyed requests: which key was attempted or completed, under which token. They make a keyed
 * request run at most once within its window, whatever single loss happens.
 */
package org.rowanvalve.control.record;
