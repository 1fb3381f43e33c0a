/** The thin daemon around the library: threads, sockets and files of one instance. */
package org.quilldyke.daemon;
