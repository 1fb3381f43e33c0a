/** What the stand-ins share: a thread with an event loop, a server on it, and announcements. */
package org.quilldyke.testkit.http;
