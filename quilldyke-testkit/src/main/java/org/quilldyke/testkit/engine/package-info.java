/** A stand-in for a model engine: continuous batching, a block cache, events, loads and orders. */
package org.quilldyke.testkit.engine;
