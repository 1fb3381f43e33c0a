/** Chooses the target of a request by cached prompts, load and health of the targets. */
package org.quilldyke.routing;
