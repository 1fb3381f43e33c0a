/**
 * Long randomised runs over the real state machines, with faults, from a seed. The state machines
 * and these runs assert what must always hold.
 */
package org.quilldyke.testkit.check;
