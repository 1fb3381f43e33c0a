/**
 * Chooses the target of a request by cached prompts, load and health of the targets.
 *
 * <p>There are two independent implementations: {@link org.quilldyke.routing.TargetSelector} tracks
 * the parts and tokens of prompts and serves the gateway; {@link org.quilldyke.routing.Router}
 * tracks blocks of {@link org.quilldyke.engine.BlockChain} and serves the daemon.
 */
package org.quilldyke.routing;
