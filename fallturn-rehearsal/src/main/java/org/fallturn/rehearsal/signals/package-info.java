/**
 * Engines and gateways as processes that are killed and suspended by signals, and checks that no
 * request runs twice.
 */
package org.fallturn.rehearsal.signals;
