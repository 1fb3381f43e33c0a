/** The plain services beside the engines. */
package org.quilldyke.daemon.service;
