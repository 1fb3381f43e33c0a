/** The operators: intents, plans, confirmations and status. */
package org.quilldyke.daemon.operator;
