/**
 * Stand-ins for what lies outside quilldyke, for the demo, the end-to-end tests and the benches.
 */
package org.quilldyke.testkit;
