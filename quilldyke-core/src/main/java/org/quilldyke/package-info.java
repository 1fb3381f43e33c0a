/**
 * Types shared by all modules: result codes, outcomes, the checked exception and the invariant
 * check.
 */
package org.quilldyke;
