/**
 * Stand-in of the platform: transactional table service, object store, rate-limited weight store
 * and lagging machine list, with faults on command.
 */
package org.fallturn.rehearsal.platform;
