/** The JSON forms of records, for the log, the files and the wire. */
package org.quilldyke.daemon.json;
