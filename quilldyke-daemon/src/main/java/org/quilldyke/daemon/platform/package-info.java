/** The platform that runs the instance: health, readiness and metrics. */
package org.quilldyke.daemon.platform;
