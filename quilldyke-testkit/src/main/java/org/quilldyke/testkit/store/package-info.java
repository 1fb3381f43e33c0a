/** Stand-ins for the stores: kept KV cache blocks, and weights at a limited rate. */
package org.quilldyke.testkit.store;
