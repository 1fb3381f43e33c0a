/**
 * The replicated control state: the log that replicas agree on, and the state machine that applies
 * its entries to the configuration, plans and claims.
 */
package org.quilldyke.control;
