/** The settings of a site: read strictly, refused with a path, a reason and a numbered code. */
package org.quilldyke.daemon.settings;
