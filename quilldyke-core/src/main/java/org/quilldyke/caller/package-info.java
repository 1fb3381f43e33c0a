/**
 * Forwarding of callers' requests: admission, attempts, retries and the guarantees given for them.
 */
package org.quilldyke.caller;
