/** What traffic threads see of the cell, and the router that they share. */
package org.quilldyke.daemon.routing;
