/**
 * Targets that run requests: their reports, incarnations and departures, and for engines the cache
 * keys, cache events and load reports.
 */
package org.quilldyke.engine;
