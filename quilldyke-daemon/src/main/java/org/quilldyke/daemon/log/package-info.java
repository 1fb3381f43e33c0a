/** The numbered events of the log; docs/EVENTS.md is their catalogue. */
package org.quilldyke.daemon.log;
