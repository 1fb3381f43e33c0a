/** A disk in memory, with the losses of power and content that real disks have. */
package org.quilldyke.testkit.disk;
