/** The callers: reading their requests, relaying their answers, refusing what can't be served. */
package org.quilldyke.daemon.caller;
