/**
 * The state that instances exchange: heartbeats, the shared table of targets, and the choice of
 * control processes.
 */
package org.quilldyke.instance;
