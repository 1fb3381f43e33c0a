/** The commands of the program, a small class each, with annotated options. */
package org.quilldyke.tools.command;
