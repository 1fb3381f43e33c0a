/** The one program {@code quilldyke} and its commands. */
package org.quilldyke.tools;
