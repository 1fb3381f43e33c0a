/** The other instances: gRPC server and clients, and the exchange of what each knows. */
package org.quilldyke.daemon.instance;
