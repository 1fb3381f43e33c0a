/** The shell around a replica of the control state: files, messages, proposals, plans' orders. */
package org.quilldyke.daemon.control;
