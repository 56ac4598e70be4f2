/**
 * Two snapshots: of the configuration (routes from host and path to services) and of the engines
 * that serve them, from which a node decides where requests go. All types are immutable and free of
 * side effects, except the builder of tenant keys; a new snapshot replaces the old one as a whole.
 */
package org.fallturn.core.routing;
