/** The engines: their HTTP client, their event streams and their load. */
package org.quilldyke.daemon.engine;
