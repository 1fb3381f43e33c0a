/** The demo: a whole site in one process, with faults, checked against what the stand-ins saw. */
package org.quilldyke.tools.demo;
