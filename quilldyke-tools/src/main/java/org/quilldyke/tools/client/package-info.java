/** A caller's and an operator's client, for the commands and the demo. */
package org.quilldyke.tools.client;
